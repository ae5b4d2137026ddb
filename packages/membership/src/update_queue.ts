import {MemberRecord} from './member_record.js';

const SENDS_A_DOUBLING = 3;
/** What does not fit is found by comparing digests. */
const MAXIMUM_UPDATES = 256;

interface Update {
  readonly record: MemberRecord;
  readonly sent: number;
}

/**
 * Records that still have to be spread. Each rides on a number of datagrams
 * that grows with the logarithm of the number of processes, the least often
 * sent first. Source: Das, Gupta and Motivala, "SWIM", 2002, section 4.1.
 */
export class UpdateQueue {
  private updates: readonly Update[] = [];

  private constructor() {}

  /** A queue with nothing to spread. */
  static create(): UpdateQueue {
    return new UpdateQueue();
  }

  /** Spreads a record, in place of an older one of the same process. */
  push(record: MemberRecord): void {
    const {name} = record.machine;
    const others = this.updates.filter(
      update => update.record.machine.name !== name,
    );
    this.updates = [{record, sent: 0}, ...others].slice(0, MAXIMUM_UPDATES);
  }

  /**
   * Drops what the digests of two tables cover. When they agree, what a start
   * of many processes has left in the queue is known everywhere.
   */
  settle(): void {
    this.updates = this.updates.filter(
      ({record}) => record.standing === 'suspect',
    );
  }

  /**
   * Takes records for one datagram among `processes` live ones, as long as
   * `fits` holds; each call counts as one time that they were sent.
   */
  take(
    processes: number,
    fits: (record: MemberRecord) => boolean,
  ): readonly MemberRecord[] {
    if (this.updates.length === 0) return [];
    const limit = SENDS_A_DOUBLING * Math.ceil(Math.log2(processes + 1));
    const taken = new Set<MemberRecord>();
    for (const {record} of this.updates) {
      if (!fits(record)) break;
      taken.add(record);
    }
    this.updates = this.updates
      .map(update =>
        taken.has(update.record) ? {...update, sent: update.sent + 1} : update,
      )
      .filter(update => update.sent < limit)
      .sort((left, right) => left.sent - right.sent);
    return [...taken];
  }
}
