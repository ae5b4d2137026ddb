import {AsyncQueue, Deferred} from '@apricotlock/flow';
import {Check} from './peer_call.js';

/**
 * How many bytes one side of a conversation may send before the other side has
 * consumed them. The last message may exceed the window.
 */
const WINDOW_BYTES = 256 << 10;
/** How many bytes may wait for the window before the conversation fails. */
const MAXIMUM_UNSENT_BYTES = 4 << 20;
/** Credit is sent to the other side once this many bytes were consumed. */
const CREDIT_THRESHOLD_BYTES = WINDOW_BYTES / 4;

/** One side of an open conversation. */
export abstract class PeerChannel<Sent, Received> {
  /**
   * Sends a message. Returns `false` if the conversation has ended. Messages
   * that exceed the window of the other side are queued. The conversation ends
   * when the queue is full, so senders of much data must wait for
   * {@link PeerChannel.writable} between messages.
   */
  abstract send(message: Sent): boolean;

  /**
   * Resolves when the window has room for another message, or the conversation
   * has ended.
   */
  abstract writable(): Promise<void>;

  /**
   * Resolves to the next message, or to `undefined` when the conversation has
   * ended and all received messages were returned.
   */
  abstract receive(): Promise<Received | undefined>;

  /**
   * Ends the conversation. The other side still receives the messages that were
   * sent before.
   */
  abstract end(): void;
}

/** An encoded message that is ready to be sent. */
export interface PreparedMessage {
  readonly bytes: number;
  /** Sends the message. Returns `false` if the carrier is lost. */
  readonly transmit: () => boolean;
}

/** The operations that a channel requires of the link that carries it. */
export interface ChannelCarrier<Sent> {
  readonly prepare: (message: Sent) => PreparedMessage;
  /** Permits the other side to send `bytes` more. */
  readonly sendCredit: (bytes: number) => void;
  /** Notifies the other side that no more messages follow. */
  readonly sendEnd: () => void;
}

interface ReceivedMessage<Received> {
  readonly message: Received;
  readonly bytes: number;
}

/** A channel over a link, which delivers received messages to it. @internal */
export class LinkChannel<Sent, Received> extends PeerChannel<Sent, Received> {
  private readonly inbox = AsyncQueue.create<ReceivedMessage<Received>>();
  private isOpen = true;
  private inboxBytes = 0;
  private uncreditedBytes = 0;
  private unacknowledgedBytes = 0;
  private unsentMessages: PreparedMessage[] = [];
  private unsentBytes = 0;
  private writableSignal: Deferred<void> | undefined;

  private constructor(
    private readonly carrier: ChannelCarrier<Sent>,
    private readonly check: Check<Received>,
  ) {
    super();
  }

  /** Creates a channel that sends through `carrier`. */
  static create<Sent, Received>(
    carrier: ChannelCarrier<Sent>,
    check: Check<Received>,
  ): LinkChannel<Sent, Received> {
    return new LinkChannel<Sent, Received>(carrier, check);
  }

  override send(message: Sent): boolean {
    if (!this.isOpen) return false;
    const prepared = this.carrier.prepare(message);
    if (this.canTransmit) return this.transmit(prepared);
    const isQueued = this.unsentBytes > 0;
    if (isQueued && this.unsentBytes + prepared.bytes > MAXIMUM_UNSENT_BYTES) {
      this.fail();
      return false;
    }
    this.unsentMessages.push(prepared);
    this.unsentBytes += prepared.bytes;
    return true;
  }

  override writable(): Promise<void> {
    if (!this.isOpen || this.canTransmit) return Promise.resolve();
    this.writableSignal ??= Deferred.create<void>();
    return this.writableSignal.promise;
  }

  override async receive(): Promise<Received | undefined> {
    const received = await this.inbox.take();
    if (received === undefined) return undefined;
    this.inboxBytes -= received.bytes;
    this.uncreditedBytes += received.bytes;
    if (this.isOpen && this.uncreditedBytes >= CREDIT_THRESHOLD_BYTES) {
      const {uncreditedBytes} = this;
      this.uncreditedBytes = 0;
      this.carrier.sendCredit(uncreditedBytes);
    }
    return received.message;
  }

  override end(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.inbox.close();
    this.writableSignal?.resolve();
    if (this.unsentMessages.length === 0) this.carrier.sendEnd();
  }

  /**
   * Delivers a received message. The conversation ends if the message is
   * malformed or the other side has ignored the window.
   */
  deliver(body: unknown, bytes: number): void {
    if (!this.isOpen) return;
    const message = this.check(body);
    // A sender that respects the window never has this many unconsumed bytes.
    const exceedsWindow = this.inboxBytes >= 2 * WINDOW_BYTES;
    if (message === undefined || exceedsWindow) {
      this.fail();
      return;
    }
    this.inboxBytes += bytes;
    this.inbox.push({message, bytes});
  }

  /** Adds send credit for `bytes` that the other side has consumed. */
  addCredit(bytes: number): void {
    this.unacknowledgedBytes = Math.max(0, this.unacknowledgedBytes - bytes);
    while (
      this.unsentMessages.length > 0 &&
      this.unacknowledgedBytes < WINDOW_BYTES
    ) {
      const next = this.unsentMessages.shift() as PreparedMessage;
      this.unsentBytes -= next.bytes;
      this.transmit(next);
    }
    if (!this.canTransmit) return;
    this.writableSignal?.resolve();
    this.writableSignal = undefined;
    // The end is sent after all queued messages.
    if (!this.isOpen) this.carrier.sendEnd();
  }

  /** Closes the channel after the other side has ended or the link is lost. */
  close(): void {
    this.isOpen = false;
    this.unsentMessages = [];
    this.unsentBytes = 0;
    this.inbox.close();
    this.writableSignal?.resolve();
  }

  private get canTransmit(): boolean {
    return (
      this.unsentMessages.length === 0 &&
      this.unacknowledgedBytes < WINDOW_BYTES
    );
  }

  private transmit(prepared: PreparedMessage): boolean {
    this.unacknowledgedBytes += prepared.bytes;
    return prepared.transmit();
  }

  private fail(): void {
    this.unsentMessages = [];
    this.unsentBytes = 0;
    this.end();
  }
}

/** The two sides of a conversation within one process. */
export interface ChannelPair<ClientMessage, ServerMessage> {
  readonly client: PeerChannel<ClientMessage, ServerMessage>;
  readonly server: PeerChannel<ServerMessage, ClientMessage>;
}

/**
 * Creates a conversation within one process, with the same flow control as over
 * a link.
 */
export function createChannelPair<ClientMessage, ServerMessage>(): ChannelPair<
  ClientMessage,
  ServerMessage
> {
  const client: LinkChannel<ClientMessage, ServerMessage> = LinkChannel.create<
    ClientMessage,
    ServerMessage
  >(
    createLocalCarrier(() => server),
    body => body as ServerMessage,
  );
  const server: LinkChannel<ServerMessage, ClientMessage> = LinkChannel.create<
    ServerMessage,
    ClientMessage
  >(
    createLocalCarrier(() => client),
    body => body as ClientMessage,
  );
  return {client, server};
}

function createLocalCarrier<Sent, Received>(
  getOtherSide: () => LinkChannel<Received, Sent>,
): ChannelCarrier<Sent> {
  return {
    prepare: body => {
      const bytes = estimateMessageBytes(body);
      return {bytes, transmit: () => deliverTo(getOtherSide(), body, bytes)};
    },
    sendCredit: bytes => getOtherSide().addCredit(bytes),
    sendEnd: () => getOtherSide().close(),
  };
}

function deliverTo<Sent, Received>(
  channel: LinkChannel<Sent, Received>,
  body: Received,
  bytes: number,
): boolean {
  channel.deliver(body, bytes);
  return true;
}

/** Estimates the encoded size of a message, in bytes. */
function estimateMessageBytes(body: unknown): number {
  if (typeof body !== 'object' || body === null) return FIELD_OVERHEAD_BYTES;
  return Object.values(body).reduce<number>(
    (sum, value) => sum + FIELD_OVERHEAD_BYTES + getByteLength(value),
    FIELD_OVERHEAD_BYTES,
  );
}

const FIELD_OVERHEAD_BYTES = 16;

function getByteLength(value: unknown): number {
  if (value instanceof Uint8Array || typeof value === 'string') {
    return value.length;
  }
  return 0;
}
