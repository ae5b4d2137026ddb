import {TimerService} from '@apricotlock/timer';

/** The result of `withTimeout` if the timeout expires first. */
export const TIMED_OUT = Symbol('timed out');

/**
 * Resolves to the result of `promise`, or to `TIMED_OUT` if it does not
 * settle within `milliseconds`. The underlying operation is not cancelled: the
 * code that stops waiting must discard a result that arrives later.
 */
export function withTimeout<T>(
  timer: TimerService,
  milliseconds: number,
  promise: Promise<T>,
): Promise<T | typeof TIMED_OUT> {
  return new Promise((resolve, reject) => {
    const stop = timer.once(milliseconds, () => resolve(TIMED_OUT));
    promise.then(
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
