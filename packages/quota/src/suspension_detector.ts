import {TimerService} from '@apricotlock/timer';

/** Corrections of the wall clock by less than this are no suspension. */
const SUSPENSION_MILLISECONDS = 500;

/**
 * Detects that this VM was suspended: its wall clock advanced further than its
 * monotonic clock. It has no timer; two clocks are read at each use.
 */
export class SuspensionDetector {
  private lastDifference: number;
  private suspensions = 0;

  private constructor(private readonly timer: TimerService) {
    this.lastDifference = timer.wallClock() - timer.now();
  }

  /** Creates a detector that compares the clocks from now on. */
  static create(timer: TimerService): SuspensionDetector {
    return new SuspensionDetector(timer);
  }

  /** Returns how many suspensions were detected. */
  count(): number {
    const difference = this.timer.wallClock() - this.timer.now();
    if (difference - this.lastDifference > SUSPENSION_MILLISECONDS) {
      this.suspensions++;
    }
    this.lastDifference = difference;
    return this.suspensions;
  }
}
