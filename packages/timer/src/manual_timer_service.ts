import {setImmediate} from 'node:timers/promises';
import {TimerService, Unsubscribe} from './timer_service.js';

interface Alarm {
  readonly dueAt: number;
  readonly action: () => void;
}

/** Time that moves only when told to: for tests of other packages. */
export class ManualTimerService extends TimerService {
  private time = 0;
  /** The next one last; of those due together, the first added last. */
  private readonly alarms: Alarm[] = [];
  private readonly stopped = new WeakSet<Alarm>();

  private constructor() {
    super();
  }

  /** A clock that stands at zero. */
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
    const alarm: Alarm = {dueAt: this.time + delayMilliseconds, action};
    this.alarms.splice(this.placeOf(alarm.dueAt), 0, alarm);
    return () => {
      this.stopped.add(alarm);
    };
  }

  override every(periodMilliseconds: number, action: () => void): Unsubscribe {
    let stopped = false;
    let stop: Unsubscribe = () => undefined;
    const arm = () => {
      stop = this.once(periodMilliseconds, () => {
        action();
        if (!stopped) arm();
      });
    };
    arm();
    return () => {
      stopped = true;
      stop();
    };
  }

  /** Moves time on and runs, in order, every action that falls due. */
  advance(milliseconds: number): void {
    const end = this.time + milliseconds;
    while (this.runNext(end));
    this.time = end;
  }

  /** Like `advance`, but lets tasks go on after each moment with an action. */
  async advanceTasks(milliseconds: number): Promise<void> {
    const end = this.time + milliseconds;
    for (;;) {
      const moment = this.alarms[this.alarms.length - 1]?.dueAt ?? Infinity;
      if (moment > end) break;
      while (this.runNext(moment));
      await setImmediate();
    }
    this.time = end;
  }

  private runNext(end: number): boolean {
    const next = this.alarms[this.alarms.length - 1];
    if (next === undefined || next.dueAt > end) return false;
    this.alarms.pop();
    if (this.stopped.has(next)) return true;
    this.time = next.dueAt;
    next.action();
    return true;
  }

  /** The first place whose alarm is due before or at `dueAt`. */
  private placeOf(dueAt: number): number {
    let low = 0;
    let high = this.alarms.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.alarms[middle] as Alarm).dueAt > dueAt) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
