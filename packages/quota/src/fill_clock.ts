/**
 * The longest time that counts between two readings. Longer gaps are pauses,
 * during which another coordinator or the reserves may have granted.
 */
const MAXIMUM_STEP_MILLISECONDS = 500;

/**
 * A clock that does not count the pauses of this process. It never runs faster
 * than the monotonic clock.
 *
 * Load: read every 200 ms and for each grant request.
 */
export class FillClock {
  private time = 0;

  private constructor(private readAt: number) {}

  /** Creates a clock at zero; `monotonicNow` is in milliseconds. */
  static create(monotonicNow: number): FillClock {
    return new FillClock(monotonicNow);
  }

  /** Returns the time on this clock, in milliseconds. */
  read(monotonicNow: number): number {
    const step = Math.max(0, monotonicNow - this.readAt);
    this.readAt = monotonicNow;
    this.time += Math.min(step, MAXIMUM_STEP_MILLISECONDS);
    return this.time;
  }
}
