import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {
  LeaseOwnerMessage,
  LeaseClientMessage,
  RunMessage,
} from './lease_messages.js';

/**
 * Messages of the lease client. Reads ahead to the next `run` message, so that
 * cancel requests and the end of the stream are noticed while a statement runs.
 */
export class LeaseInbox {
  private pendingRun: Promise<RunMessage | undefined>;
  private cancelSignal = Deferred.create<void>();
  private cancelRequested = false;
  private readyForMore = Deferred.create<void>();

  private constructor(
    private readonly channel: PeerChannel<
      LeaseOwnerMessage,
      LeaseClientMessage
    >,
    private readonly timer: TimerService,
    first: RunMessage | undefined,
  ) {
    this.pendingRun =
      first === undefined ? this.receiveRun() : Promise.resolve(first);
  }

  /** Starts reading; `first` is the run message that came with the request. */
  static start(
    channel: PeerChannel<LeaseOwnerMessage, LeaseClientMessage>,
    timer: TimerService,
    first?: RunMessage,
  ): LeaseInbox {
    return new LeaseInbox(channel, timer, first);
  }

  /**
   * Whether the lease client requested that its last statements be cancelled.
   */
  get isCancelRequested(): boolean {
    return this.cancelRequested;
  }

  /**
   * Resolves to the next statements, or to `undefined` once the lease client
   * has released the lease or disconnected.
   */
  async readRun(): Promise<RunMessage | undefined> {
    const message = await this.pendingRun;
    if (message === undefined) return undefined;
    this.cancelRequested = false;
    this.cancelSignal = Deferred.create();
    this.pendingRun = this.receiveRun();
    return message;
  }

  /**
   * Like {@link LeaseInbox.readRun}, but resolves to `TIMED_OUT` if no message
   * arrives within `milliseconds`.
   */
  async readRunWithin(
    milliseconds: number,
  ): Promise<RunMessage | undefined | typeof TIMED_OUT> {
    const arrived = await withTimeout(
      this.timer,
      milliseconds,
      this.pendingRun,
    );
    return arrived === TIMED_OUT ? TIMED_OUT : this.readRun();
  }

  /**
   * Resolves once the lease client has released the lease or disconnected;
   * never resolves if it sends further statements instead.
   */
  async waitUntilClosed(): Promise<void> {
    const message = await this.pendingRun;
    if (message !== undefined) await new Promise(() => undefined);
  }

  /**
   * Resolves once the lease client cancels its last statements, releases the
   * lease or disconnects.
   */
  waitUntilAbandoned(): Promise<void> {
    return Promise.race([this.waitUntilClosed(), this.cancelSignal.promise]);
  }

  /**
   * Resolves once the lease client has passed on the last part of the answer,
   * has released the lease or has disconnected.
   */
  async waitUntilReadyForMore(): Promise<void> {
    await Promise.race([this.waitUntilClosed(), this.readyForMore.promise]);
    this.readyForMore = Deferred.create();
  }

  private async receiveRun(): Promise<RunMessage | undefined> {
    for (;;) {
      const message = await this.channel.receive();
      if (message?.kind === 'cancel') {
        this.cancelRequested = true;
        this.cancelSignal.resolve();
      } else if (message?.kind === 'more') {
        this.readyForMore.resolve();
      } else {
        return message?.kind === 'run' ? message : undefined;
      }
    }
  }
}
