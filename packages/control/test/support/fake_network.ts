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
import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {SystemTimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';

type Handler = (body: unknown) => Promise<Either<string, unknown>>;

const packr = new Packr({useRecords: false});
const timer = SystemTimerService.create();

/** Calls between objects of one process, through the codec of the links. */
export class FakeNetwork {
  private readonly nodes = new Map<number, FakePeerNetwork>();
  private readonly cutPorts = new Set<number>();
  /** Bytes sent, by the sender's port. */
  readonly bytesSent = new Map<number, number>();
  /** Calls made, by name. */
  readonly calls = new Map<string, number>();

  static create(): FakeNetwork {
    return new FakeNetwork();
  }

  /** A node's network; the one it had before hears no more. */
  join(port: number): PeerNetwork {
    const node = new FakePeerNetwork(this, port);
    this.nodes.set(port, node);
    return node;
  }

  /** The process at a port is gone. */
  leave(port: number): void {
    this.nodes.delete(port);
  }

  /** Nothing passes to or from these any more, and nobody is told. */
  cut(...ports: readonly number[]): void {
    for (const port of ports) this.cutPorts.add(port);
  }

  heal(): void {
    this.cutPorts.clear();
  }

  async deliver(
    from: FakePeerNetwork,
    to: number,
    name: string,
    body: unknown,
  ): Promise<Either<string, unknown> | 'nobody' | 'lost'> {
    this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
    const bytes = packr.pack(body);
    this.count(from.port, bytes.length);
    await new Promise(resolve => setImmediate(resolve));
    if (this.separates(from, to)) return 'lost';
    const node = this.nodes.get(to);
    if (node === undefined) return 'nobody';
    const answer = await node.answer(name, packr.unpack(bytes));
    this.count(to, packr.pack(answer.extract()).length);
    if (this.separates(from, to)) return 'lost';
    return answer.map(value => packr.unpack(packr.pack(value)) as unknown);
  }

  private count(port: number, bytes: number): void {
    this.bytesSent.set(port, (this.bytesSent.get(port) ?? 0) + bytes);
  }

  private separates(from: FakePeerNetwork, to: number): boolean {
    const gone = this.nodes.get(from.port) !== from;
    return gone || this.cutPorts.has(from.port) !== this.cutPorts.has(to);
  }
}

class FakePeerNetwork extends PeerNetwork {
  private readonly handlers = new Map<string, Handler>();

  constructor(
    private readonly hub: FakeNetwork,
    readonly port: number,
  ) {
    super();
  }

  async answer(name: string, body: unknown): Promise<Either<string, unknown>> {
    return this.handlers.get(name)?.(body) ?? Left('unknown call');
  }

  override async call<Request, Answer>(
    to: Address,
    call: PeerCall<Request, Answer>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>> {
    const answer = await withTimeout(
      timer,
      timeoutMilliseconds,
      this.carry(to.port, call.name, request),
    );
    if (answer === 'nobody') return Left({kind: 'notSent', reason: 'refused'});
    if (answer === TIMED_OUT) {
      return Left({kind: 'noAnswer', reason: 'no answer in time'});
    }
    return answer
      .mapLeft((reason): PeerError => ({kind: 'refused', reason}))
      .chain(body =>
        call
          .checkAnswer(body)
          .mapLeft((): PeerError => ({kind: 'malformedAnswer'})),
      );
  }

  override converse<Opening, Up, Down>(
    _to: Address,
    _conversation: PeerConversation<Opening, Up, Down>,
    _opening: Opening,
  ): PeerChannel<Up, Down> {
    throw new Error('control has no conversations');
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
    _conversation: PeerConversation<Opening, Up, Down>,
    _handler: ConversationHandler<Opening, Up, Down>,
  ): void {
    throw new Error('control has no conversations');
  }

  override async close(): Promise<void> {
    this.hub.leave(this.port);
  }

  private async carry(to: number, name: string, body: unknown) {
    const answer = await this.hub.deliver(this, to, name, body);
    if (answer !== 'lost') return answer;
    return new Promise<never>(() => undefined);
  }
}
