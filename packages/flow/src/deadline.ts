import {TimerService} from '@apricotlock/timer';

/** What `withTimeout` gives when time ran out before the work was done. */
export const TIMED_OUT = Symbol('timed out');

/**
 * Waits for `work` at most `milliseconds`. The work itself is not stopped:
 * whoever gives up on it must drop its late answer.
 */
export function withTimeout<T>(
  timer: TimerService,
  milliseconds: number,
  work: Promise<T>,
): Promise<T | typeof TIMED_OUT> {
  return new Promise((resolve, reject) => {
    const stop = timer.once(milliseconds, () => resolve(TIMED_OUT));
    work.then(
      value => {
        stop();
        resolve(value);
      },
      (failure: unknown) => {
        stop();
        reject(failure);
      },
    );
  });
}
