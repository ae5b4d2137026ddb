import {setImmediate} from 'node:timers/promises';
import {TimerService, Unsubscribe} from './timer_service.js';

interface Timer {
  readonly dueAt: number;
  readonly action: () => void;
}

/**
 * A timer service for tests, whose time advances only by calls of `advance`
 * and `advanceAsync`.
 */
export class ManualTimerService extends TimerService {
  private time = 0;
  /**
   * Sorted so that the next timer to run is the last element. Of timers due at
   * the same time, the one added first is nearer to the end.
   */
  private readonly timers: Timer[] = [];
  private readonly stopped = new WeakSet<Timer>();

  private constructor() {
    super();
  }

  /** Creates a timer service whose time is zero. */
  static create(): ManualTimerService {
    return new ManualTimerService();
  }

  override now(): number {
    return this.time;
  }

  override wallClock(): number {
    return this.time;
  }

  override once(delayMilliseconds: number, action: () => void): Unsubscribe {
    const newTimer: Timer = {dueAt: this.time + delayMilliseconds, action};
    this.timers.splice(this.insertionIndexOf(newTimer.dueAt), 0, newTimer);
    return () => {
      this.stopped.add(newTimer);
    };
  }

  override every(periodMilliseconds: number, action: () => void): Unsubscribe {
    let stopped = false;
    let stop: Unsubscribe = () => undefined;
    const schedule = () => {
      stop = this.once(periodMilliseconds, () => {
        action();
        if (!stopped) schedule();
      });
    };
    schedule();
    return () => {
      stopped = true;
      stop();
    };
  }

  /** Advances the time and runs every action that falls due, in order. */
  advance(milliseconds: number): void {
    const end = this.time + milliseconds;
    while (this.runNext(end));
    this.time = end;
  }

  /**
   * Like `advance`, but after each point in time at which actions ran it lets
   * the event loop run pending tasks before it continues.
   */
  async advanceAsync(milliseconds: number): Promise<void> {
    const end = this.time + milliseconds;
    for (;;) {
      const dueAt = this.timers[this.timers.length - 1]?.dueAt ?? Infinity;
      if (dueAt > end) break;
      while (this.runNext(dueAt));
      await setImmediate();
    }
    this.time = end;
  }

  private runNext(end: number): boolean {
    const timer = this.timers[this.timers.length - 1];
    if (timer === undefined || timer.dueAt > end) return false;
    this.timers.pop();
    if (this.stopped.has(timer)) return true;
    this.time = timer.dueAt;
    timer.action();
    return true;
  }

  /** Returns the first index whose timer is due at or before `dueAt`. */
  private insertionIndexOf(dueAt: number): number {
    let low = 0;
    let high = this.timers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.timers[middle] as Timer).dueAt > dueAt) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
