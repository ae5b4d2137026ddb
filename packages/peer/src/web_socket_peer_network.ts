import {match} from 'ts-pattern';
import {Either} from 'purify-ts';
import {WebSocket} from 'ws';
import {Unsubscribe} from '@apricotlock/timer';
import {AcceptedLink} from './accepted_link.js';
import {Address, addressKey} from './peer_address.js';
import {PeerCall, PeerConversation} from './peer_call.js';
import {PeerChannel} from './peer_channel.js';
import {PeerError} from './peer_error.js';
import {decodeFrames, PeerFrame} from './peer_frame.js';
import {PeerLink} from './peer_link.js';
import {CallHandler, ConversationHandler, PeerNetwork} from './peer_network.js';
import {PeerServer, PeerServerOptions} from './peer_server.js';

type AnyCall = (body: unknown) => Promise<Either<string, unknown>>;
type AnyConversation = (
  opening: unknown,
  link: AcceptedLink,
  id: number,
) => void;

const IDLE_LIMIT_MILLISECONDS = 30_000;
const IDLE_CHECK_MILLISECONDS = 5_000;
const QUIET_POLL_MILLISECONDS = 20;

/** Options of {@link WebSocketPeerNetwork}. */
export type PeerNetworkOptions = PeerServerOptions;

/** Calls between processes over WebSocket links, with MessagePack. */
export class WebSocketPeerNetwork extends PeerNetwork {
  private readonly links = new Map<string, PeerLink>();
  private readonly calls = new Map<string, AnyCall>();
  private readonly conversations = new Map<string, AnyConversation>();
  /** How many conversations of each name are being served. */
  private readonly served = new Map<string, number>();
  private server: PeerServer | undefined;
  private readonly stopSweeping: Unsubscribe;

  private constructor(private readonly options: PeerNetworkOptions) {
    super();
    this.stopSweeping = options.timer.every(IDLE_CHECK_MILLISECONDS, () =>
      this.closeIdleLinks(),
    );
  }

  /** Starts to listen. Throws if the address can't be had. */
  static async start(
    options: PeerNetworkOptions,
  ): Promise<WebSocketPeerNetwork> {
    const network = new WebSocketPeerNetwork(options);
    network.server = await PeerServer.start(options, socket =>
      network.accept(socket),
    );
    return network;
  }

  /** How many links this process has dialled and keeps. */
  get dialledLinks(): number {
    return this.links.size;
  }

  override call<Request, Answer>(
    to: Address,
    call: PeerCall<Request, Answer>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>> {
    return this.linkTo(to).call(call, request, timeoutMilliseconds);
  }

  override converse<Opening, Up, Down>(
    to: Address,
    conversation: PeerConversation<Opening, Up, Down>,
    opening: Opening,
  ): PeerChannel<Up, Down> {
    return this.linkTo(to).converse(conversation, opening);
  }

  override handle<Request, Answer>(
    call: PeerCall<Request, Answer>,
    handler: CallHandler<Request, Answer>,
  ): void {
    this.calls.set(call.name, async body => {
      const request = call.checkRequest(body);
      if (request.isLeft()) return request;
      return handler(request.unsafeCoerce());
    });
  }

  override handleConversation<Opening, Up, Down>(
    conversation: PeerConversation<Opening, Up, Down>,
    handler: ConversationHandler<Opening, Up, Down>,
  ): void {
    this.conversations.set(conversation.name, (body, link, id) => {
      const channel = link.openChannel<Down, Up>(id, conversation.checkUp);
      const opening = conversation.checkOpening(body);
      if (opening.isLeft()) {
        channel.end();
        return;
      }
      this.count(conversation.name, 1);
      handler(opening.unsafeCoerce(), channel)
        .catch((failure: unknown) => {
          this.options.logger.error('a conversation failed', {
            name: conversation.name,
            failure: String(failure),
          });
        })
        .finally(() => {
          this.count(conversation.name, -1);
          channel.end();
        });
    });
  }

  /**
   * Waits until no conversation of this kind is being served for another
   * process, at most until the deadline; gives how many are left.
   */
  async untilQuiet<Opening, Up, Down>(
    conversation: PeerConversation<Opening, Up, Down>,
    deadlineMilliseconds: number,
  ): Promise<number> {
    const {timer} = this.options;
    const deadline = timer.now() + deadlineMilliseconds;
    const open = () => this.served.get(conversation.name) ?? 0;
    while (open() > 0 && timer.now() < deadline) {
      await timer.sleep(QUIET_POLL_MILLISECONDS);
    }
    return open();
  }

  override async close(): Promise<void> {
    this.stopSweeping();
    for (const link of this.links.values()) link.close();
    await this.server?.close();
  }

  private linkTo(to: Address): PeerLink {
    const key = addressKey(to);
    const known = this.links.get(key);
    if (known !== undefined) return known;
    const link = PeerLink.create(to, this.options);
    this.links.set(key, link);
    return link;
  }

  private closeIdleLinks(): void {
    for (const [key, link] of this.links) {
      if (link.idleMilliseconds < IDLE_LIMIT_MILLISECONDS) continue;
      this.links.delete(key);
      link.close();
    }
  }

  private accept(socket: WebSocket): void {
    const {timer, maximumMessageBytes} = this.options;
    const link = AcceptedLink.of(socket, timer, maximumMessageBytes);
    socket.on('message', (data: Buffer) => {
      const frames = decodeFrames(data);
      if (frames === undefined) link.terminate();
      else for (const {frame, bytes} of frames) this.take(link, frame, bytes);
    });
  }

  private take(link: AcceptedLink, frame: PeerFrame, bytes: number): void {
    match(frame)
      .with({kind: 'request'}, request => {
        void link.serve(request.id, () => this.answer(link, request));
      })
      .with({kind: 'open'}, opening => this.open(link, opening))
      .with({kind: 'up'}, ({id, body}) => link.deliver(id, body, bytes))
      .with({kind: 'credit'}, credit => link.credited(credit.id, credit.bytes))
      .with({kind: 'end'}, ({id}) => link.closed(id))
      .otherwise(() => link.terminate());
  }

  private async answer(
    link: AcceptedLink,
    frame: Extract<PeerFrame, {kind: 'request'}>,
  ): Promise<void> {
    const handler = this.calls.get(frame.name);
    if (handler === undefined) {
      link.send({kind: 'refusal', id: frame.id, reason: 'unknown call'});
      return;
    }
    try {
      const result = await handler(frame.body);
      result.caseOf({
        Left: reason => link.send({kind: 'refusal', id: frame.id, reason}),
        Right: body => link.send({kind: 'answer', id: frame.id, body}),
      });
    } catch (failure) {
      this.options.logger.error('a call failed', {
        name: frame.name,
        failure: String(failure),
      });
      link.send({kind: 'refusal', id: frame.id, reason: 'internal error'});
    }
  }

  private open(
    link: AcceptedLink,
    frame: Extract<PeerFrame, {kind: 'open'}>,
  ): void {
    const handler = this.conversations.get(frame.name);
    if (handler === undefined || !link.hasRoom) {
      link.send({kind: 'end', id: frame.id, from: 'down'});
      return;
    }
    handler(frame.body, link, frame.id);
  }

  private count(name: string, difference: number): void {
    this.served.set(name, (this.served.get(name) ?? 0) + difference);
  }
}
