import {MemberRecord} from './member_record.js';

/** How often a record is sent, per doubling of the number of processes. */
const SENDS_PER_DOUBLING = 3;
/** Records beyond this limit reach the others through digest comparison. */
const MAXIMUM_QUEUED_UPDATES = 256;

interface QueuedUpdate {
  readonly record: MemberRecord;
  readonly sent: number;
}

/**
 * Records that are still to be propagated by piggybacking. The number of
 * datagrams that carry a record grows with the logarithm of the number of
 * processes; records sent least often go first. Source: Das, Gupta and
 * Motivala, "SWIM", 2002, section 4.1.
 */
export class UpdateQueue {
  private updates: readonly QueuedUpdate[] = [];

  private constructor() {}

  /** Creates an empty queue. */
  static create(): UpdateQueue {
    return new UpdateQueue();
  }

  /** Queues a record; it replaces an older one of the same process. */
  push(record: MemberRecord): void {
    const {name} = record.machine;
    const others = this.updates.filter(
      update => update.record.machine.name !== name,
    );
    this.updates = [{record, sent: 0}, ...others].slice(
      0,
      MAXIMUM_QUEUED_UPDATES,
    );
  }

  /**
   * Removes all records that digests cover, that is, all but suspicions. Called
   * when the digests of two tables agree: the records that a start of many
   * processes left in the queue are then known everywhere.
   */
  dropSynchronized(): void {
    this.updates = this.updates.filter(
      ({record}) => record.standing === 'suspect',
    );
  }

  /**
   * Returns the records to piggyback on one datagram, up to the first for which
   * `fits` returns `false`. Each returned record counts as sent once more, and
   * leaves the queue when it was sent often enough for `processCount` live
   * processes.
   */
  takeBatch(
    processCount: number,
    fits: (record: MemberRecord) => boolean,
  ): readonly MemberRecord[] {
    if (this.updates.length === 0) return [];
    const limit = SENDS_PER_DOUBLING * Math.ceil(Math.log2(processCount + 1));
    const selectedRecords = new Set<MemberRecord>();
    for (const {record} of this.updates) {
      if (!fits(record)) break;
      selectedRecords.add(record);
    }
    this.updates = this.updates
      .map(update =>
        selectedRecords.has(update.record)
          ? {...update, sent: update.sent + 1}
          : update,
      )
      .filter(update => update.sent < limit)
      .sort((left, right) => left.sent - right.sent);
    return [...selectedRecords];
  }
}
