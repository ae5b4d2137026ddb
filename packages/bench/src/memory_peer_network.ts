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

/** IP, TCP, TLS and WebSocket headers and the names of the frame's fields. */
const ENVELOPE_BYTES = 120;

const packr = new Packr({useRecords: false});

/** Processes in one process that call each other through the links' codec. */
export class MemoryPeerHub {
  private readonly networks = new Map<number, MemoryPeerNetwork>();

  private constructor() {}

  /** A hub without processes. */
  static create(): MemoryPeerHub {
    return new MemoryPeerHub();
  }

  /** The network of the process at a port. */
  join(port: number): MemoryPeerNetwork {
    const network = MemoryPeerNetwork.of(this, port);
    this.networks.set(port, network);
    return network;
  }

  /** @internal */
  at(port: number): MemoryPeerNetwork | undefined {
    return this.networks.get(port);
  }
}

/** One process's calls; counts the bytes that would go over its links. */
export class MemoryPeerNetwork extends PeerNetwork {
  /** Bytes sent and received, with headers. */
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
    const other = this.hub.at(to.port);
    if (other === undefined) {
      return Left({kind: 'notSent', reason: 'nobody listens there'});
    }
    const body = await this.carry(other, request);
    const handler = other.handlers.get(call.name);
    const answer = (await handler?.(body)) ?? Left('unknown call');
    const carried = await this.carry(other, answer.extract());
    if (answer.isLeft()) {
      return Left({kind: 'refused', reason: String(carried)});
    }
    return call
      .checkAnswer(carried)
      .mapLeft((): PeerError => ({kind: 'malformedAnswer'}));
  }

  override converse<Opening, Up, Down>(
    _to: Address,
    conversation: PeerConversation<Opening, Up, Down>,
  ): PeerChannel<Up, Down> {
    throw new Error(`no conversations here: ${conversation.name}`);
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
    throw new Error(`no conversations here: ${conversation.name}`);
  }

  override async close(): Promise<void> {
    this.handlers.clear();
  }

  private async carry(
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
