import {AsyncQueue, Deferred} from '@apricotlock/flow';
import {Check} from './peer_call.js';

/**
 * How many bytes one side of a conversation may have sent that the other has
 * not taken yet; one message may go over it.
 */
const WINDOW_BYTES = 256 << 10;
/** How many bytes may wait for the window before the conversation fails. */
const MAXIMUM_WAITING_BYTES = 4 << 20;
const CREDIT_STEP_BYTES = WINDOW_BYTES / 4;

/** One side of an open conversation. */
export abstract class PeerChannel<Sent, Received> {
  /**
   * Sends a message; `false` once the conversation has ended. What the other
   * side is too slow for waits here, up to a bound over which the conversation
   * ends: whoever sends much waits for {@link PeerChannel.writable} in between.
   */
  abstract send(message: Sent): boolean;

  /** Resolves once the other side takes more, or the conversation has ended. */
  abstract writable(): Promise<void>;

  /** The next message, or `undefined` once the other side has ended. */
  abstract receive(): Promise<Received | undefined>;

  /** Ends the conversation; the other side takes what was sent before. */
  abstract end(): void;
}

/** A message that is ready to go. */
export interface PreparedMessage {
  readonly bytes: number;
  /** Sends it; `false` once the carrier is lost. */
  readonly transmit: () => boolean;
}

/** What a channel needs of the link that carries it. */
export interface ChannelCarrier {
  readonly prepare: (body: unknown) => PreparedMessage;
  /** Lets the other side send as many bytes more. */
  readonly credit: (bytes: number) => void;
  /** Tells the other side that nothing more comes. */
  readonly ended: () => void;
}

interface Arrived<Received> {
  readonly message: Received;
  readonly bytes: number;
}

/** @internal A channel over a link; the link delivers into it. */
export class LinkChannel<Sent, Received> extends PeerChannel<Sent, Received> {
  private readonly inbox = AsyncQueue.create<Arrived<Received>>();
  private open = true;
  private inboxBytes = 0;
  private takenBytes = 0;
  private sentBytes = 0;
  private waiting: PreparedMessage[] = [];
  private waitingBytes = 0;
  private room: Deferred<void> | undefined;

  private constructor(
    private readonly carrier: ChannelCarrier,
    private readonly check: Check<Received>,
  ) {
    super();
  }

  /** A channel whose messages `carrier` takes to the other side. */
  static over<Sent, Received>(
    carrier: ChannelCarrier,
    check: Check<Received>,
  ): LinkChannel<Sent, Received> {
    return new LinkChannel<Sent, Received>(carrier, check);
  }

  override send(message: Sent): boolean {
    if (!this.open) return false;
    const prepared = this.carrier.prepare(message);
    if (this.hasRoom) return this.transmit(prepared);
    const waits = this.waitingBytes > 0;
    if (waits && this.waitingBytes + prepared.bytes > MAXIMUM_WAITING_BYTES) {
      this.fail();
      return false;
    }
    this.waiting.push(prepared);
    this.waitingBytes += prepared.bytes;
    return true;
  }

  override writable(): Promise<void> {
    if (!this.open || this.hasRoom) return Promise.resolve();
    this.room ??= Deferred.create<void>();
    return this.room.promise;
  }

  override async receive(): Promise<Received | undefined> {
    const arrived = await this.inbox.take();
    if (arrived === undefined) return undefined;
    this.inboxBytes -= arrived.bytes;
    this.takenBytes += arrived.bytes;
    if (this.open && this.takenBytes >= CREDIT_STEP_BYTES) {
      const {takenBytes} = this;
      this.takenBytes = 0;
      this.carrier.credit(takenBytes);
    }
    return arrived.message;
  }

  override end(): void {
    if (!this.open) return;
    this.open = false;
    this.inbox.close();
    this.room?.resolve();
    if (this.waiting.length === 0) this.carrier.ended();
  }

  /** A message has come; one that does not fit the schema ends it all. */
  deliver(body: unknown, bytes: number): void {
    if (!this.open) return;
    const message = this.check(body);
    // A sender that keeps to the window never has as much under way.
    const overrun = this.inboxBytes >= 2 * WINDOW_BYTES;
    if (message === undefined || overrun) {
      this.fail();
      return;
    }
    this.inboxBytes += bytes;
    this.inbox.push({message, bytes});
  }

  /** The other side has taken as many bytes. */
  credited(bytes: number): void {
    this.sentBytes = Math.max(0, this.sentBytes - bytes);
    while (this.waiting.length > 0 && this.sentBytes < WINDOW_BYTES) {
      const next = this.waiting.shift() as PreparedMessage;
      this.waitingBytes -= next.bytes;
      this.transmit(next);
    }
    if (!this.hasRoom) return;
    this.room?.resolve();
    this.room = undefined;
    // The end comes after all that was sent before it.
    if (!this.open) this.carrier.ended();
  }

  /** The other side has ended, or the link is lost. */
  closed(): void {
    this.open = false;
    this.waiting = [];
    this.waitingBytes = 0;
    this.inbox.close();
    this.room?.resolve();
  }

  private get hasRoom(): boolean {
    return this.waiting.length === 0 && this.sentBytes < WINDOW_BYTES;
  }

  private transmit(prepared: PreparedMessage): boolean {
    this.sentBytes += prepared.bytes;
    return prepared.transmit();
  }

  private fail(): void {
    this.waiting = [];
    this.waitingBytes = 0;
    this.end();
  }
}

/** The two ends of a conversation inside one process. */
export interface ChannelPair<Up, Down> {
  readonly caller: PeerChannel<Up, Down>;
  readonly called: PeerChannel<Down, Up>;
}

/** Makes a conversation inside one process, with the same rules as a link. */
export function createChannelPair<Up, Down>(): ChannelPair<Up, Down> {
  const caller: LinkChannel<Up, Down> = LinkChannel.over<Up, Down>(
    carrierTo(() => called),
    body => body as Down,
  );
  const called: LinkChannel<Down, Up> = LinkChannel.over<Down, Up>(
    carrierTo(() => caller),
    body => body as Up,
  );
  return {caller, called};
}

function carrierTo<Sent, Received>(
  other: () => LinkChannel<Sent, Received>,
): ChannelCarrier {
  return {
    prepare: body => {
      const bytes = approximateBytes(body);
      return {bytes, transmit: () => deliverTo(other(), body, bytes)};
    },
    credit: bytes => other().credited(bytes),
    ended: () => other().closed(),
  };
}

function deliverTo<Sent, Received>(
  channel: LinkChannel<Sent, Received>,
  body: unknown,
  bytes: number,
): boolean {
  channel.deliver(body, bytes);
  return true;
}

/** About what a message would take if it were encoded. */
function approximateBytes(body: unknown): number {
  if (typeof body !== 'object' || body === null) return BYTES_A_FIELD;
  return Object.values(body).reduce<number>(
    (sum, value) => sum + BYTES_A_FIELD + lengthOf(value),
    BYTES_A_FIELD,
  );
}

const BYTES_A_FIELD = 16;

function lengthOf(value: unknown): number {
  if (value instanceof Uint8Array || typeof value === 'string') {
    return value.length;
  }
  return 0;
}
