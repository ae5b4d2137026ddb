/**
 * What passes between tasks: queues, promises settled elsewhere, values that
 * change, and waiting with a deadline.
 *
 * @packageDocumentation
 */
export {AsyncQueue} from './async_queue.js';
export {Deferred} from './deferred.js';
export {Observable} from './observable.js';
export {TIMED_OUT, withTimeout} from './deadline.js';
