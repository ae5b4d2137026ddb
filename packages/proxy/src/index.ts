/**
 * Serves callers over the PostgreSQL protocol. Each batch of messages is
 * classified, routed to a member whose data is recent enough, and its answer is
 * returned to the caller.
 *
 * @packageDocumentation
 */
export {CallerListener, type CallerListenerOptions} from './caller_listener.js';
export {CancelRouter, type CancelRouterOptions} from './cancel_router.js';
export {type SessionObserver} from './session_observer.js';
export {failureFields, type Failure} from './failure.js';
export {Router} from './router.js';
export {SettingName} from './session_settings.js';
