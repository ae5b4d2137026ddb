import {TimerService, Unsubscribe} from '@apricotlock/timer';

const CHECK_INTERVAL_MILLISECONDS = 100;
/** A longer gap between two checks counts as a stall. */
const STALL_MILLISECONDS = 300;

/**
 * Detects stalls of this process itself. During a stall, answers are not read,
 * so missing answers say nothing about the other processes.
 */
export class StallDetector {
  private lastCheckAt: number;
  private lastStallAt = -Infinity;
  private readonly stopChecking: Unsubscribe;

  private constructor(private readonly timer: TimerService) {
    this.lastCheckAt = timer.now();
    this.stopChecking = timer.every(CHECK_INTERVAL_MILLISECONDS, () =>
      this.check(),
    );
  }

  /** Starts detecting stalls. */
  static start(timer: TimerService): StallDetector {
    return new StallDetector(timer);
  }

  /** Returns whether a stall was detected in the last `milliseconds`. */
  hasStalledWithin(milliseconds: number): boolean {
    this.check();
    return this.timer.now() - this.lastStallAt < milliseconds;
  }

  /** Stops detecting stalls. */
  stop(): void {
    this.stopChecking();
  }

  private check(): void {
    const now = this.timer.now();
    if (now - this.lastCheckAt > STALL_MILLISECONDS) this.lastStallAt = now;
    this.lastCheckAt = now;
  }
}
