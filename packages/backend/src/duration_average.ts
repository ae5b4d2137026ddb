/** Weight of the newest duration in the average. */
const SMOOTHING_FACTOR = 0.1;

/** Exponential moving average of durations in milliseconds. */
export class DurationAverage {
  private average: number | undefined;

  private constructor() {}

  /** Creates an average without durations. */
  static create(): DurationAverage {
    return new DurationAverage();
  }

  /** The average in milliseconds, or zero before the first duration. */
  get milliseconds(): number {
    return this.average ?? 0;
  }

  /** Adds a duration to the average. */
  add(milliseconds: number): void {
    const {average} = this;
    this.average =
      average === undefined
        ? milliseconds
        : average + (milliseconds - average) * SMOOTHING_FACTOR;
  }
}
