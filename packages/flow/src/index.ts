/**
 * Primitives for asynchronous code: a queue, a deferred promise, an observable
 * value and waiting with a timeout.
 *
 * @packageDocumentation
 */
export {AsyncQueue} from './async_queue.js';
export {Deferred} from './deferred.js';
export {Observable} from './observable.js';
export {TIMED_OUT, withTimeout} from './deadline.js';
