import {TimerService} from '@apricotlock/timer';

/** A moment in milliseconds, on both clocks of a VM. */
export interface ClockReading {
  /** On the monotonic clock. */
  readonly monotonicAt: number;
  /** On the wall clock. */
  readonly wallAt: number;
}

/** Returns the current moment. */
export function readClocks(timer: TimerService): ClockReading {
  return {monotonicAt: timer.now(), wallAt: timer.wallClock()};
}

/**
 * Returns the milliseconds since a moment, on the clock that has run further.
 * While a VM is suspended, its monotonic clock may stand still although its wall
 * clock advances, and the wall clock may be set back. Suits times that must not
 * be underestimated.
 */
export function longestElapsedMilliseconds(
  timer: TimerService,
  {monotonicAt, wallAt}: ClockReading,
): number {
  return Math.max(timer.now() - monotonicAt, timer.wallClock() - wallAt);
}
