/** Stops a subscription; calling it again does nothing. */
export type Unsubscribe = () => void;

/**
 * The one source of time of a process. Parts subscribe to it instead of
 * calling the platform's timers, so that a test can move time by hand.
 */
export abstract class TimerService {
  /** Milliseconds on a clock that never goes back; its zero has no meaning. */
  abstract now(): number;

  /** Milliseconds since the Unix epoch, for records that people read. */
  abstract wallClock(): number;

  /** Calls `action` once, `delayMilliseconds` from now. */
  abstract once(delayMilliseconds: number, action: () => void): Unsubscribe;

  /** Calls `action` every `periodMilliseconds`, first after one period. */
  abstract every(periodMilliseconds: number, action: () => void): Unsubscribe;

  /** Resolves after `delayMilliseconds`. */
  sleep(delayMilliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.once(delayMilliseconds, resolve);
    });
  }
}
