const TIME_CONSTANT_MILLISECONDS = 500;

/**
 * Estimates the recent demand of an organisation at this VM, as an
 * exponentially weighted average over about 500 ms.
 *
 * Load: one call of `record` for each operation of an organisation with a
 * quota.
 */
export class DemandEstimate {
  private weight = 0;

  private constructor(private recordedAt: number) {}

  /** Creates an estimate of zero. */
  static create(now: number): DemandEstimate {
    return new DemandEstimate(now);
  }

  /** Records one operation. */
  record(now: number): void {
    const elapsed = Math.max(0, now - this.recordedAt);
    this.recordedAt = now;
    const decay = Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
    this.weight = this.weight * decay + 1;
  }

  /**
   * Returns the operations that are expected within a period, as of the last
   * recorded operation.
   */
  expectedWithin(milliseconds: number): number {
    return (this.weight * milliseconds) / TIME_CONSTANT_MILLISECONDS;
  }
}
