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

/** Delivers calls between objects of one process, encoded as on real links. */
export class FakeNetwork {
  private readonly nodes = new Map<number, FakePeerNetwork>();
  private readonly isolatedPorts = new Set<number>();
  /** Bytes sent, by the sender's port. */
  readonly bytesSent = new Map<number, number>();
  /** Number of calls, by name. */
  readonly calls = new Map<string, number>();

  static create(): FakeNetwork {
    return new FakeNetwork();
  }

  /**
   * Returns a network for a node; an earlier one at the same port receives no
   * more.
   */
  join(port: number): PeerNetwork {
    const node = new FakePeerNetwork(this, port);
    this.nodes.set(port, node);
    return node;
  }

  /** Removes the process at a port; calls to it fail at once. */
  leave(port: number): void {
    this.nodes.delete(port);
  }

  /** Silently drops all messages between these ports and the others. */
  isolate(...ports: readonly number[]): void {
    for (const port of ports) this.isolatedPorts.add(port);
  }

  heal(): void {
    this.isolatedPorts.clear();
  }

  async deliver(
    from: FakePeerNetwork,
    to: number,
    name: string,
    body: unknown,
  ): Promise<Either<string, unknown> | 'closed' | 'lost'> {
    this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
    const bytes = packr.pack(body);
    this.countBytes(from.port, bytes.length);
    await new Promise(resolve => setImmediate(resolve));
    if (this.blocks(from, to)) return 'lost';
    const node = this.nodes.get(to);
    if (node === undefined) return 'closed';
    const answer = await node.handleRequest(name, packr.unpack(bytes));
    this.countBytes(to, packr.pack(answer.extract()).length);
    if (this.blocks(from, to)) return 'lost';
    return answer.map(value => packr.unpack(packr.pack(value)) as unknown);
  }

  private countBytes(port: number, bytes: number): void {
    this.bytesSent.set(port, (this.bytesSent.get(port) ?? 0) + bytes);
  }

  private blocks(from: FakePeerNetwork, to: number): boolean {
    const isReplaced = this.nodes.get(from.port) !== from;
    return (
      isReplaced ||
      this.isolatedPorts.has(from.port) !== this.isolatedPorts.has(to)
    );
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

  async handleRequest(
    name: string,
    body: unknown,
  ): Promise<Either<string, unknown>> {
    return this.handlers.get(name)?.(body) ?? Left('no handler for this call');
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
      this.transmit(to.port, call.name, request),
    );
    if (answer === 'closed') return Left({kind: 'notSent', reason: 'refused'});
    if (answer === TIMED_OUT) {
      return Left({kind: 'noAnswer', reason: 'no answer within the timeout'});
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
    throw new Error(
      'bidirectional streams are not supported by the fake network',
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
    _conversation: PeerConversation<Opening, Up, Down>,
    _handler: ConversationHandler<Opening, Up, Down>,
  ): void {
    throw new Error(
      'bidirectional streams are not supported by the fake network',
    );
  }

  override async close(): Promise<void> {
    this.hub.leave(this.port);
  }

  private async transmit(to: number, name: string, body: unknown) {
    const answer = await this.hub.deliver(this, to, name, body);
    if (answer !== 'lost') return answer;
    return new Promise<never>(() => undefined);
  }
}
