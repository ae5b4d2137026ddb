import {performance} from 'node:perf_hooks';
import {PeriodicSchedule} from './periodic_schedule.js';
import {TimerService, Unsubscribe} from './timer_service.js';

/** A timer service on the clocks and timers of Node.js. */
export class SystemTimerService extends TimerService {
  private readonly schedule = PeriodicSchedule.create(() => this.now());

  private constructor() {
    super();
  }

  /** Creates a timer service; it holds no resources until it is used. */
  static create(): SystemTimerService {
    return new SystemTimerService();
  }

  override now(): number {
    return performance.now();
  }

  override wallClock(): number {
    return Date.now();
  }

  override once(delayMilliseconds: number, action: () => void): Unsubscribe {
    const handle = setTimeout(action, delayMilliseconds);
    return () => clearTimeout(handle);
  }

  override every(periodMilliseconds: number, action: () => void): Unsubscribe {
    if (PeriodicSchedule.supports(periodMilliseconds)) {
      return this.schedule.add(periodMilliseconds, action);
    }
    const handle = setInterval(action, periodMilliseconds);
    return () => clearInterval(handle);
  }
}
