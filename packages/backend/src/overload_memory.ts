import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {LeaseDown, LeaseRequest, LeaseUp} from './lease_messages.js';

/** The part of the expected wait for which an owner is not asked again. */
const PAUSE_SHARE = 0.25;
const MAXIMUM_PAUSE_MILLISECONDS = 250;

/**
 * What owners refused for overload lately. For a part of the time that their
 * queue needs to drain, further requests are refused here: answering them
 * would take the owner from the work it has accepted. The pause is short
 * against the queue, so the owner never runs out of work because of it.
 */
export class OverloadMemory {
  private readonly until = new Map<string, number>();

  private constructor(private readonly timer: TimerService) {}

  /** Remembers nothing yet. */
  static create(timer: TimerService): OverloadMemory {
    return new OverloadMemory(timer);
  }

  /** How long to come back later, if the owner would refuse a request now. */
  retryAfter(request: LeaseRequest): number | undefined {
    const key = keyOf(request);
    const until = this.until.get(key);
    if (until === undefined) return undefined;
    const left = until - this.timer.now();
    if (left > 0) return Math.ceil(left / PAUSE_SHARE);
    this.until.delete(key);
    return undefined;
  }

  /** Notes the refusals of a conversation that passes through. */
  watch(
    request: LeaseRequest,
    conversation: PeerChannel<LeaseUp, LeaseDown>,
  ): PeerChannel<LeaseUp, LeaseDown> {
    return WatchedConversation.over(conversation, retryAfterMilliseconds => {
      const pause = Math.min(
        MAXIMUM_PAUSE_MILLISECONDS,
        retryAfterMilliseconds * PAUSE_SHARE,
      );
      this.until.set(keyOf(request), this.timer.now() + pause);
    });
  }
}

class WatchedConversation extends PeerChannel<LeaseUp, LeaseDown> {
  private constructor(
    private readonly inner: PeerChannel<LeaseUp, LeaseDown>,
    private readonly overloaded: (retryAfterMilliseconds: number) => void,
  ) {
    super();
  }

  static over(
    inner: PeerChannel<LeaseUp, LeaseDown>,
    overloaded: (retryAfterMilliseconds: number) => void,
  ): WatchedConversation {
    return new WatchedConversation(inner, overloaded);
  }

  override send(message: LeaseUp): boolean {
    return this.inner.send(message);
  }

  override writable(): Promise<void> {
    return this.inner.writable();
  }

  override async receive(): Promise<LeaseDown | undefined> {
    const message = await this.inner.receive();
    if (message?.kind === 'refused' && message.refusal.kind === 'overloaded') {
      this.overloaded(message.refusal.retryAfterMilliseconds);
    }
    return message;
  }

  override end(): void {
    this.inner.end();
  }
}

function keyOf({entry, member, purpose}: LeaseRequest): string {
  return `${entry}\0${member}\0${purpose}`;
}
