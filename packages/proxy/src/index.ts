/**
 * Callers' sessions: what a caller sends is read as far as routing needs it,
 * run on a member that is fresh enough, and answered whole or not at all.
 *
 * @packageDocumentation
 */
export {CallerListener, type CallerListenerOptions} from './caller_listener.js';
export {CancelRouter, type CancelRouterOptions} from './cancel_router.js';
export {type SessionObserver} from './caller_session.js';
export {failureFields, type Failure} from './outcome.js';
export {Router} from './router.js';
export {SettingName} from './session_settings.js';
