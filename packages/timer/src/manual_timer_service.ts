import {TimerService, Unsubscribe} from './timer_service.js';

interface Alarm {
  readonly dueAt: number;
  readonly periodMilliseconds: number | undefined;
  readonly action: () => void;
}

/** Time that moves only when told to: for tests of other packages. */
export class ManualTimerService extends TimerService {
  private time = 0;
  private alarms: readonly Alarm[] = [];

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
    return this.add({
      dueAt: this.time + delayMilliseconds,
      periodMilliseconds: undefined,
      action,
    });
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
    for (;;) {
      const due = this.nextDueBy(end);
      if (due === undefined) break;
      this.alarms = this.alarms.filter(alarm => alarm !== due);
      this.time = due.dueAt;
      due.action();
    }
    this.time = end;
  }

  private add(alarm: Alarm): Unsubscribe {
    this.alarms = [...this.alarms, alarm];
    return () => {
      this.alarms = this.alarms.filter(other => other !== alarm);
    };
  }

  private nextDueBy(end: number): Alarm | undefined {
    return this.alarms
      .filter(alarm => alarm.dueAt <= end)
      .sort((left, right) => left.dueAt - right.dueAt)[0];
  }
}
