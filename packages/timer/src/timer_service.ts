/** Cancels a timer; further calls do nothing. */
export type Unsubscribe = () => void;

/**
 * The only source of time in a process. Code uses it instead of the platform's
 * clocks and timers, so that tests can control time.
 */
export abstract class TimerService {
  /**
   * Returns the milliseconds of a monotonic clock. Its zero is arbitrary, so
   * only differences between two readings are meaningful.
   */
  abstract now(): number;

  /**
   * Returns the milliseconds since the Unix epoch, for timestamps that people
   * read. Unlike `now`, this clock can go backwards.
   */
  abstract wallClock(): number;

  /** Calls `action` once, after `delayMilliseconds`. */
  abstract once(delayMilliseconds: number, action: () => void): Unsubscribe;

  /**
   * Calls `action` every `periodMilliseconds`; the first call comes after one
   * period. The first call may be up to 100 ms late and the period up to 50 ms
   * longer, so that periodic actions share the wake-ups of the process.
   */
  abstract every(periodMilliseconds: number, action: () => void): Unsubscribe;

  /** Returns a promise that resolves after `delayMilliseconds`. */
  sleep(delayMilliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.once(delayMilliseconds, resolve);
    });
  }
}
