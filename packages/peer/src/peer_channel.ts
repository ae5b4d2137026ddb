import {AsyncQueue} from '@apricotlock/flow';
import {Check} from './peer_call.js';

/** One side of an open conversation. */
export abstract class PeerChannel<Sent, Received> {
  /** Sends a message; `false` once the conversation has ended. */
  abstract send(message: Sent): boolean;

  /** The next message, or `undefined` once the other side has ended. */
  abstract receive(): Promise<Received | undefined>;

  /** Ends the conversation; the other side takes what was sent before. */
  abstract end(): void;
}

/** What a channel needs of the link that carries it. */
export interface ChannelCarrier {
  readonly send: (body: unknown) => boolean;
  readonly ended: () => void;
}

/** @internal A channel over a link; the link delivers into it. */
export class LinkChannel<Sent, Received> extends PeerChannel<Sent, Received> {
  private readonly inbox = AsyncQueue.create<Received>();
  private open = true;

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
    return this.open && this.carrier.send(message);
  }

  override receive(): Promise<Received | undefined> {
    return this.inbox.take();
  }

  override end(): void {
    if (!this.open) return;
    this.open = false;
    this.inbox.close();
    this.carrier.ended();
  }

  /** A message has come; one that does not fit the schema ends it all. */
  deliver(body: unknown): void {
    const message = this.check(body);
    if (message === undefined) this.end();
    else this.inbox.push(message);
  }

  /** The other side has ended, or the link is lost. */
  closed(): void {
    this.open = false;
    this.inbox.close();
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
    {send: body => deliverTo(called, body), ended: () => called.closed()},
    body => body as Down,
  );
  const called: LinkChannel<Down, Up> = LinkChannel.over<Down, Up>(
    {send: body => deliverTo(caller, body), ended: () => caller.closed()},
    body => body as Up,
  );
  return {caller, called};
}

function deliverTo<Sent, Received>(
  channel: LinkChannel<Sent, Received>,
  body: unknown,
): boolean {
  channel.deliver(body);
  return true;
}
