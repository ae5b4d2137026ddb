/**
 * Time: a service that parts subscribe to.
 *
 * @packageDocumentation
 */
export {TimerService, type Unsubscribe} from './timer_service.js';
export {SystemTimerService} from './system_timer_service.js';
export {ManualTimerService} from './manual_timer_service.js';
