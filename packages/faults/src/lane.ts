import {Socket} from 'node:net';
import {TimerService} from '@apricotlock/timer';
import {LaneFault} from './fault_plan.js';

interface Delivery {
  /** When it is to be made, on the timer's clock. */
  readonly due: number;
  readonly deliver: () => void;
}

/** Carries the bytes of one direction of one connection, in their order. */
export class Lane {
  private waiting: Delivery[] = [];
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

  /** Makes the deliveries that are due, if nothing is held back. */
  release(): void {
    while (!this.fault().held) {
      const [next] = this.waiting;
      if (next === undefined || next.due > this.timer.now()) return;
      this.waiting.shift();
      next.deliver();
    }
  }

  private later(deliver: () => void): void {
    if (this.silent) return;
    const {delayMilliseconds} = this.fault();
    const due = this.timer.now() + delayMilliseconds;
    this.waiting.push({due, deliver});
    this.release();
    if (delayMilliseconds > 0) this.wake(delayMilliseconds);
  }

  /** A timer may come early by a part of a millisecond. */
  private wake(delayMilliseconds: number): void {
    this.timer.once(delayMilliseconds + 1, () => this.release());
  }

  private carry(chunk: Buffer): void {
    if (!this.to.write(chunk)) this.from.pause();
  }
}
