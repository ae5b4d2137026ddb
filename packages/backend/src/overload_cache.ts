import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {
  LeaseOwnerMessage,
  LeaseRequest,
  LeaseClientMessage,
} from './lease_messages.js';

/** Fraction of the expected wait during which requests are refused locally. */
const PAUSE_SHARE = 0.25;
const MAXIMUM_PAUSE_MILLISECONDS = 250;

/**
 * Caches refusals of overloaded owners. For a fraction of the time that the
 * owner's queue needs to drain, further requests are refused locally, since
 * refusing them would take the owner's time away from accepted work. The pause
 * is short compared with the queue, so the queue does not run empty because of
 * it.
 */
export class OverloadCache {
  private readonly pausedUntil = new Map<string, number>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty cache. */
  static create(timer: TimerService): OverloadCache {
    return new OverloadCache(timer);
  }

  /**
   * Returns the delay in milliseconds after which to retry, if the request is
   * to be refused locally now; otherwise `undefined`.
   */
  getRetryDelay(request: LeaseRequest): number | undefined {
    const key = keyOf(request);
    const until = this.pausedUntil.get(key);
    if (until === undefined) return undefined;
    const remaining = until - this.timer.now();
    if (remaining > 0) return Math.ceil(remaining / PAUSE_SHARE);
    this.pausedUntil.delete(key);
    return undefined;
  }

  /**
   * Returns a stream that forwards to `conversation` and records a refusal for
   * overload.
   */
  observe(
    request: LeaseRequest,
    conversation: PeerChannel<LeaseClientMessage, LeaseOwnerMessage>,
  ): PeerChannel<LeaseClientMessage, LeaseOwnerMessage> {
    return ObservedConversation.create(conversation, retryAfterMilliseconds => {
      const pause = Math.min(
        MAXIMUM_PAUSE_MILLISECONDS,
        retryAfterMilliseconds * PAUSE_SHARE,
      );
      this.pausedUntil.set(keyOf(request), this.timer.now() + pause);
    });
  }
}

class ObservedConversation extends PeerChannel<
  LeaseClientMessage,
  LeaseOwnerMessage
> {
  private constructor(
    private readonly conversation: PeerChannel<
      LeaseClientMessage,
      LeaseOwnerMessage
    >,
    private readonly onOverload: (retryAfterMilliseconds: number) => void,
  ) {
    super();
  }

  static create(
    conversation: PeerChannel<LeaseClientMessage, LeaseOwnerMessage>,
    onOverload: (retryAfterMilliseconds: number) => void,
  ): ObservedConversation {
    return new ObservedConversation(conversation, onOverload);
  }

  override send(message: LeaseClientMessage): boolean {
    return this.conversation.send(message);
  }

  override writable(): Promise<void> {
    return this.conversation.writable();
  }

  override async receive(): Promise<LeaseOwnerMessage | undefined> {
    const message = await this.conversation.receive();
    if (message?.kind === 'refused' && message.refusal.kind === 'overloaded') {
      this.onOverload(message.refusal.retryAfterMilliseconds);
    }
    return message;
  }

  override end(): void {
    this.conversation.end();
  }
}

function keyOf({entry, member, purpose}: LeaseRequest): string {
  return `${entry}\0${member}\0${purpose}`;
}
