import {LogPosition} from '@apricotlock/statement';

const MAXIMUM_SAMPLES = 64;

/** A log position that covers every write acknowledged before `requestedAt`. */
export interface PositionSample {
  /** The control term of the group in which the position was reported. */
  readonly term: number;
  /** When the position was requested, on this VM's clock, in milliseconds. */
  readonly requestedAt: number;
  /** When the answer was received; the time of the request if it is omitted. */
  readonly receivedAt?: number;
  readonly position: LogPosition;
}

/**
 * Recent log positions of each group. A read may return data of a certain age,
 * so a replica must have at least the position that the log had at that time.
 * The oldest sample that is recent enough is used, because a lagging replica is
 * most likely to have reached it.
 */
export class PositionSampleHistory {
  private readonly samples = new Map<string, readonly PositionSample[]>();

  private constructor() {}

  /** Creates an empty history. */
  static create(): PositionSampleHistory {
    return new PositionSampleHistory();
  }

  /**
   * Adds a sample. Drops the samples of earlier terms, because a failover may
   * have lost the records up to their positions.
   */
  record(database: string, sample: PositionSample): void {
    const recorded = this.samples.get(database) ?? [];
    const current = recorded.filter(({term}) => term >= sample.term);
    const retained = current.length === 0 ? [] : current;
    const sorted = [...retained, sample].sort(
      (left, right) => left.requestedAt - right.requestedAt,
    );
    this.samples.set(database, sorted.slice(-MAXIMUM_SAMPLES));
  }

  /**
   * Returns the oldest sample that covers every write acknowledged before
   * `moment`, `undefined` if there is none.
   */
  findCoveringSample(
    database: string,
    moment: number,
  ): PositionSample | undefined {
    return this.samples
      .get(database)
      ?.find(({requestedAt}) => requestedAt >= moment);
  }

  /** Returns the newest sample of a group. */
  newest(database: string): PositionSample | undefined {
    return this.samples.get(database)?.at(-1);
  }
}
