/**
 * Timers and clocks: an abstract timer service, its implementation on the
 * platform's timers and a manually advanced one for tests.
 *
 * @packageDocumentation
 */
export {TimerService, type Unsubscribe} from './timer_service.js';
export {SystemTimerService} from './system_timer_service.js';
export {ManualTimerService} from './manual_timer_service.js';
