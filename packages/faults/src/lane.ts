import {Socket} from 'node:net';
import {TimerService} from '@apricotlock/timer';
import {LaneFault} from './fault_plan.js';

/** Carries the bytes of one direction of one connection. */
export class Lane {
  private waiting: Array<() => void> = [];
  private lastDue = 0;
  private silent = false;

  private constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    private readonly fault: () => LaneFault,
    private readonly timer: TimerService,
  ) {}

  /** Starts to carry what `from` receives to `to`. */
  static start(
    from: Socket,
    to: Socket,
    fault: () => LaneFault,
    timer: TimerService,
  ): Lane {
    const lane = new Lane(from, to, fault, timer);
    from.on('data', (chunk: Buffer) => lane.later(() => lane.carry(chunk)));
    from.on('end', () => lane.later(() => to.end()));
    from.on('close', () => lane.later(() => to.destroy()));
    from.on('error', () => undefined);
    to.on('drain', () => from.resume());
    return lane;
  }

  /** Carries nothing any more, and does not say so to either end. */
  silence(): void {
    this.silent = true;
    this.waiting = [];
  }

  /** Delivers what waits, if the fault has ended. */
  release(): void {
    while (!this.fault().held) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      next();
    }
  }

  private later(action: () => void): void {
    const {delayMilliseconds} = this.fault();
    const now = this.timer.now();
    // A shorter delay must not let later bytes pass earlier ones.
    this.lastDue = Math.max(this.lastDue, now + delayMilliseconds);
    if (this.lastDue <= now) this.offer(action);
    else this.timer.once(this.lastDue - now, () => this.offer(action));
  }

  private offer(action: () => void): void {
    if (this.silent) return;
    this.waiting.push(action);
    this.release();
  }

  private carry(chunk: Buffer): void {
    if (!this.to.write(chunk)) this.from.pause();
  }
}
