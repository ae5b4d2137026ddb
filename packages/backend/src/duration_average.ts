const NEWEST_SHARE = 0.1;

/** A moving average of durations in milliseconds; the newest count most. */
export class DurationAverage {
  private average: number | undefined;

  private constructor() {}

  /** An average of nothing yet. */
  static create(): DurationAverage {
    return new DurationAverage();
  }

  /** The average, or zero before the first duration. */
  get milliseconds(): number {
    return this.average ?? 0;
  }

  /** Takes a duration into account. */
  add(milliseconds: number): void {
    const {average} = this;
    this.average =
      average === undefined
        ? milliseconds
        : average + (milliseconds - average) * NEWEST_SHARE;
  }
}
