import {performance} from 'node:perf_hooks';
import {TimerService, Unsubscribe} from './timer_service.js';

/** Time as the platform gives it. */
export class SystemTimerService extends TimerService {
  private constructor() {
    super();
  }

  /** The platform's clock and timers. */
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
    const handle = setInterval(action, periodMilliseconds);
    return () => clearInterval(handle);
  }
}
