import {Socket} from 'node:net';
import {TimerService} from '@apricotlock/timer';
import {LinkFault} from './fault_plan.js';

interface Delivery {
  /** Time of delivery on the timer's clock, in milliseconds. */
  readonly due: number;
  readonly deliver: () => void;
}

/** Relays the bytes of one direction of one connection, in order. */
export class RelayPipe {
  private pending: Delivery[] = [];
  private silenced = false;

  private constructor(
    private readonly source: Socket,
    private readonly target: Socket,
    private readonly fault: () => LinkFault,
    private readonly timer: TimerService,
  ) {}

  /** Starts relaying the bytes that arrive on `source` to `target`. */
  static start(
    source: Socket,
    target: Socket,
    fault: () => LinkFault,
    timer: TimerService,
  ): RelayPipe {
    const pipe = new RelayPipe(source, target, fault, timer);
    source.on('data', (chunk: Buffer) =>
      pipe.schedule(() => pipe.write(chunk)),
    );
    source.on('end', () => pipe.schedule(() => target.end()));
    source.on('close', () => pipe.schedule(() => target.destroy()));
    source.on('error', () => undefined);
    target.on('drain', () => source.resume());
    return pipe;
  }

  /** Stops relaying permanently, without closing either end. */
  silence(): void {
    this.silenced = true;
    this.pending = [];
  }

  /** Makes the deliveries that are due, unless the link is held. */
  deliverDue(): void {
    while (!this.fault().held) {
      const [next] = this.pending;
      if (next === undefined || next.due > this.timer.now()) return;
      this.pending.shift();
      next.deliver();
    }
  }

  private schedule(deliver: () => void): void {
    if (this.silenced) return;
    const {delayMilliseconds} = this.fault();
    const due = this.timer.now() + delayMilliseconds;
    this.pending.push({due, deliver});
    this.deliverDue();
    if (delayMilliseconds > 0) this.scheduleDelivery(delayMilliseconds);
  }

  /** Adds 1 ms, as a timer may fire a fraction of a millisecond early. */
  private scheduleDelivery(delayMilliseconds: number): void {
    this.timer.once(delayMilliseconds + 1, () => this.deliverDue());
  }

  private write(chunk: Buffer): void {
    if (!this.target.write(chunk)) this.source.pause();
  }
}
