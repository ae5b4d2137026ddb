import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {LeaseDown, LeaseUp} from './lease_messages.js';

/** Statements to run. */
export type RunMessage = Extract<LeaseUp, {kind: 'run'}>;

/** What the holder of a lease says, read ahead by one message. */
export class LeaseInbox {
  private ahead: Promise<RunMessage | undefined>;

  private constructor(
    private readonly channel: PeerChannel<LeaseDown, LeaseUp>,
    private readonly timer: TimerService,
  ) {
    this.ahead = this.receive();
  }

  /** Begins to read. */
  static of(
    channel: PeerChannel<LeaseDown, LeaseUp>,
    timer: TimerService,
  ): LeaseInbox {
    return new LeaseInbox(channel, timer);
  }

  /** The next statements; `undefined` once the holder is through or gone. */
  async next(): Promise<RunMessage | undefined> {
    const message = await this.ahead;
    if (message !== undefined) this.ahead = this.receive();
    return message;
  }

  /** Like {@link LeaseInbox.next}, but gives up after a while. */
  async nextWithin(
    milliseconds: number,
  ): Promise<RunMessage | undefined | typeof TIMED_OUT> {
    const arrived = await withTimeout(this.timer, milliseconds, this.ahead);
    return arrived === TIMED_OUT ? TIMED_OUT : this.next();
  }

  /** Resolves if the holder goes away while its last statements wait. */
  async gone(): Promise<void> {
    const message = await this.ahead;
    if (message !== undefined) await new Promise(() => undefined);
  }

  private async receive(): Promise<RunMessage | undefined> {
    const message = await this.channel.receive();
    return message?.kind === 'run' ? message : undefined;
  }
}
