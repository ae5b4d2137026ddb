/** Longer times are cut to this one, as those of other refusals are. */
const MAXIMUM_RETRY_MILLISECONDS = 10_000;

/**
 * Assigns to each refused operation the time at which the bucket will have room
 * for it, after those that were refused before it.
 *
 * Load: one call of `next` for each refused operation.
 */
export class RetrySchedule {
  private earliestAt = 0;
  private intervalMilliseconds = 0;
  private lastAssignedAt = -Infinity;

  private constructor() {}

  /** Creates a schedule in which no operation was refused. */
  static create(): RetrySchedule {
    return new RetrySchedule();
  }

  /**
   * Records when the bucket will have room, and the time between two operations
   * that this VM can then expect.
   */
  update(earliestAt: number, intervalMilliseconds: number): void {
    this.earliestAt = earliestAt;
    this.intervalMilliseconds = Math.min(
      intervalMilliseconds,
      MAXIMUM_RETRY_MILLISECONDS,
    );
  }

  /** Returns the milliseconds after which a refused caller should try again. */
  next(now: number): number {
    const assignedAt = Math.max(
      now + 1,
      this.earliestAt,
      this.lastAssignedAt + this.intervalMilliseconds,
    );
    const latestAt = now + MAXIMUM_RETRY_MILLISECONDS;
    this.lastAssignedAt = Math.min(assignedAt, latestAt);
    return Math.ceil(this.lastAssignedAt - now);
  }
}
