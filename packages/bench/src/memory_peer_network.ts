import {Packr} from 'msgpackr';
import {Either, Left} from 'purify-ts';
import {
  CallHandler,
  ConversationHandler,
  PeerCall,
  PeerChannel,
  PeerConversation,
  PeerError,
  PeerNetwork,
} from '@apricotlock/peer';
import {Address} from '@apricotlock/topology';

type Handler = (body: unknown) => Promise<Either<string, unknown>>;

/**
 * Bytes added to each message for IP, TCP, TLS and WebSocket headers and the
 * field names of the frame.
 */
const ENVELOPE_BYTES = 120;

const packr = new Packr({useRecords: false});

/** Connects in-process peers whose calls pass through the links' codec. */
export class MemoryPeerHub {
  private readonly networks = new Map<number, MemoryPeerNetwork>();

  private constructor() {}

  /** Creates a hub without peers. */
  static create(): MemoryPeerHub {
    return new MemoryPeerHub();
  }

  /** Adds a peer at a port and returns its network. */
  join(port: number): MemoryPeerNetwork {
    const network = MemoryPeerNetwork.of(this, port);
    this.networks.set(port, network);
    return network;
  }

  /**
   * Returns the network at a port, if a peer has joined there.
   *
   * @internal
   */
  networkAt(port: number): MemoryPeerNetwork | undefined {
    return this.networks.get(port);
  }
}

/**
 * The network of one in-process peer. Counts the bytes that the peer would
 * send and receive over real links; bidirectional streams are not supported.
 */
export class MemoryPeerNetwork extends PeerNetwork {
  /** Bytes sent and received, including headers. */
  bytes = 0;
  private readonly handlers = new Map<string, Handler>();

  private constructor(
    private readonly hub: MemoryPeerHub,
    readonly port: number,
  ) {
    super();
  }

  /** @internal */
  static of(hub: MemoryPeerHub, port: number): MemoryPeerNetwork {
    return new MemoryPeerNetwork(hub, port);
  }

  override async call<Request, Answer>(
    to: Address,
    call: PeerCall<Request, Answer>,
    request: Request,
  ): Promise<Either<PeerError, Answer>> {
    const other = this.hub.networkAt(to.port);
    if (other === undefined) {
      return Left({kind: 'notSent', reason: 'no peer at this address'});
    }
    const body = await this.transfer(other, request);
    const handler = other.handlers.get(call.name);
    const answer = (await handler?.(body)) ?? Left('unknown call');
    const received = await this.transfer(other, answer.extract());
    if (answer.isLeft()) {
      return Left({kind: 'refused', reason: String(received)});
    }
    return call
      .checkAnswer(received)
      .mapLeft((): PeerError => ({kind: 'malformedAnswer'}));
  }

  override converse<Opening, Up, Down>(
    _to: Address,
    conversation: PeerConversation<Opening, Up, Down>,
  ): PeerChannel<Up, Down> {
    throw new Error(
      `bidirectional streams are not supported: ${conversation.name}`,
    );
  }

  override handle<Request, Answer>(
    call: PeerCall<Request, Answer>,
    handler: CallHandler<Request, Answer>,
  ): void {
    this.handlers.set(call.name, async body => {
      const request = call.checkRequest(body);
      if (request.isLeft()) return request;
      return handler(request.unsafeCoerce());
    });
  }

  override handleConversation<Opening, Up, Down>(
    conversation: PeerConversation<Opening, Up, Down>,
    _handler: ConversationHandler<Opening, Up, Down>,
  ): void {
    throw new Error(
      `bidirectional streams are not supported: ${conversation.name}`,
    );
  }

  override async close(): Promise<void> {
    this.handlers.clear();
  }

  private async transfer(
    other: MemoryPeerNetwork,
    body: unknown,
  ): Promise<unknown> {
    const packed = packr.pack(body);
    const size = packed.length + ENVELOPE_BYTES;
    this.bytes += size;
    other.bytes += size;
    await new Promise(resolve => setImmediate(resolve));
    return packr.unpack(packed) as unknown;
  }
}
