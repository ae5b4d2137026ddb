import {Position} from '@apricotlock/session';

/** A sample closer than this to the last one is skipped. */
const MINIMUM_SPACING_MILLISECONDS = 50;
const MAXIMUM_AGE_MILLISECONDS = 600_000;

interface PositionSample {
  readonly position: Position;
  /**
   * The time, on the timer's clock, of the latest request that was answered
   * with this position.
   */
  readonly requestedAt: number;
}

/**
 * The positions that a primary reported over time to this process. The data of
 * a member that has applied a position is no older than the latest time at
 * which the primary still had that position. A missing sample can only cause
 * ages to be overestimated, so samples are spaced and old ones are dropped.
 */
export class PositionHistory {
  private samples: readonly PositionSample[] = [];

  private constructor() {}

  /** Creates an empty history. */
  static create(): PositionHistory {
    return new PositionHistory();
  }

  /** Records the position that the primary reported to a request. */
  record(position: Position, requestedAt: number): void {
    const last = this.samples[this.samples.length - 1];
    if (last !== undefined && last.requestedAt >= requestedAt) return;
    if (last?.position === position) {
      this.samples = [...this.samples.slice(0, -1), {position, requestedAt}];
      return;
    }
    const isTooSoon =
      last !== undefined &&
      requestedAt - last.requestedAt < MINIMUM_SPACING_MILLISECONDS;
    if (isTooSoon) return;
    const earliest = requestedAt - MAXIMUM_AGE_MILLISECONDS;
    const retained = this.samples.filter(
      sample => sample.requestedAt >= earliest,
    );
    this.samples = [...retained, {position, requestedAt}];
  }

  /**
   * Returns the latest sampled time whose data is visible to a member that has
   * applied this position, or `undefined` if every sample is newer.
   */
  timeOf(applied: Position): number | undefined {
    for (let index = this.samples.length - 1; index >= 0; index--) {
      const sample = this.samples[index] as PositionSample;
      if (sample.position <= applied) return sample.requestedAt;
    }
    return undefined;
  }

  /** Removes all samples; positions of different terms are not comparable. */
  clear(): void {
    this.samples = [];
  }
}
