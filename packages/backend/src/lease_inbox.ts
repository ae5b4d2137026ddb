import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {LeaseDown, LeaseUp, RunMessage} from './lease_messages.js';

/** What the holder of a lease says, read ahead by one message. */
export class LeaseInbox {
  private ahead: Promise<RunMessage | undefined>;
  private cancelled = Deferred.create<void>();
  private cancelAsked = false;
  private room = Deferred.create<void>();

  private constructor(
    private readonly channel: PeerChannel<LeaseDown, LeaseUp>,
    private readonly timer: TimerService,
    first: RunMessage | undefined,
  ) {
    this.ahead = first === undefined ? this.receive() : Promise.resolve(first);
  }

  /** Begins to read; `first` is what came with the request. */
  static of(
    channel: PeerChannel<LeaseDown, LeaseUp>,
    timer: TimerService,
    first?: RunMessage,
  ): LeaseInbox {
    return new LeaseInbox(channel, timer, first);
  }

  /** Whether the holder wants its last statements cancelled. */
  get wantsCancel(): boolean {
    return this.cancelAsked;
  }

  /** The next statements; `undefined` once the holder is through or gone. */
  async next(): Promise<RunMessage | undefined> {
    const message = await this.ahead;
    if (message === undefined) return undefined;
    this.cancelAsked = false;
    this.cancelled = Deferred.create();
    this.ahead = this.receive();
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

  /** Resolves if the holder gives its last statements up, or goes away. */
  givenUp(): Promise<void> {
    return Promise.race([this.gone(), this.cancelled.promise]);
  }

  /** Resolves once the holder has passed on what it was sent, or is gone. */
  async roomForMore(): Promise<void> {
    await Promise.race([this.gone(), this.room.promise]);
    this.room = Deferred.create();
  }

  private async receive(): Promise<RunMessage | undefined> {
    for (;;) {
      const message = await this.channel.receive();
      if (message?.kind === 'cancel') {
        this.cancelAsked = true;
        this.cancelled.resolve();
      } else if (message?.kind === 'more') {
        this.room.resolve();
      } else {
        return message?.kind === 'run' ? message : undefined;
      }
    }
  }
}
