import {Either} from 'purify-ts';
import {WebSocket} from 'ws';
import {Unsubscribe} from '@apricotlock/timer';
import {AcceptedLink} from './accepted_link.js';
import {Address, addressKey} from './peer_address.js';
import {PeerCall} from './peer_call.js';
import {PeerConversation} from './peer_conversation.js';
import {PeerChannel} from './peer_channel.js';
import {PeerError} from './peer_error.js';
import {decodeFrames, PeerFrame} from './peer_frame.js';
import {PeerLink} from './peer_link.js';
import {CallHandler, ConversationHandler, PeerNetwork} from './peer_network.js';
import {PeerServer, PeerServerOptions} from './peer_server.js';

type AnyCallHandler = (body: unknown) => Promise<Either<string, unknown>>;
type AnyConversationHandler = (
  opening: unknown,
  link: AcceptedLink,
  id: number,
) => void;

const LINK_IDLE_TIMEOUT_MILLISECONDS = 30_000;
/** The interval at which links that exceed the idle timeout are closed. */
const IDLE_CHECK_INTERVAL_MILLISECONDS = 5_000;
/** The interval at which the remaining conversations are counted. */
const CONVERSATION_POLL_INTERVAL_MILLISECONDS = 20;

/** Options of {@link WebSocketPeerNetwork}. */
export type PeerNetworkOptions = PeerServerOptions;

/**
 * Calls and conversations between processes over WebSocket links, encoded as
 * MessagePack.
 */
export class WebSocketPeerNetwork extends PeerNetwork {
  private readonly links = new Map<string, PeerLink>();
  private readonly callHandlers = new Map<string, AnyCallHandler>();
  private readonly conversationHandlers = new Map<
    string,
    AnyConversationHandler
  >();
  /** The number of conversations being handled, by conversation name. */
  private readonly activeConversations = new Map<string, number>();
  private server: PeerServer | undefined;
  private readonly stopIdleChecks: Unsubscribe;

  private constructor(private readonly options: PeerNetworkOptions) {
    super();
    this.stopIdleChecks = options.timer.every(
      IDLE_CHECK_INTERVAL_MILLISECONDS,
      () => this.closeIdleLinks(),
    );
  }

  /** Starts listening. Throws if the address cannot be bound. */
  static async start(
    options: PeerNetworkOptions,
  ): Promise<WebSocketPeerNetwork> {
    const network = new WebSocketPeerNetwork(options);
    network.server = await PeerServer.start(options, socket =>
      network.accept(socket),
    );
    return network;
  }

  /** The number of links that this process has dialled and not closed. */
  get dialledLinkCount(): number {
    return this.links.size;
  }

  override call<Request, Answer>(
    to: Address,
    call: PeerCall<Request, Answer>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>> {
    return this.getOrCreateLink(to).call(call, request, timeoutMilliseconds);
  }

  override converse<Opening, ClientMessage, ServerMessage>(
    to: Address,
    conversation: PeerConversation<Opening, ClientMessage, ServerMessage>,
    opening: Opening,
  ): PeerChannel<ClientMessage, ServerMessage> {
    return this.getOrCreateLink(to).converse(conversation, opening);
  }

  override handle<Request, Answer>(
    call: PeerCall<Request, Answer>,
    handler: CallHandler<Request, Answer>,
  ): void {
    this.callHandlers.set(call.name, async body => {
      const request = call.checkRequest(body);
      if (request.isLeft()) return request;
      return handler(request.unsafeCoerce());
    });
  }

  override handleConversation<Opening, ClientMessage, ServerMessage>(
    conversation: PeerConversation<Opening, ClientMessage, ServerMessage>,
    handler: ConversationHandler<Opening, ClientMessage, ServerMessage>,
  ): void {
    this.conversationHandlers.set(conversation.name, (body, link, id) => {
      const channel = link.openChannel<ServerMessage, ClientMessage>(
        id,
        conversation.serverMessageCodec,
        conversation.clientMessageCodec,
      );
      const opening = conversation.readOpening(body);
      if (opening.isLeft()) {
        channel.end();
        return;
      }
      this.adjustActiveCount(conversation.name, 1);
      handler(opening.unsafeCoerce(), channel)
        .catch((failure: unknown) => {
          this.options.logger.error('conversation handler failed', {
            name: conversation.name,
            failure: String(failure),
          });
        })
        .finally(() => {
          this.adjustActiveCount(conversation.name, -1);
          channel.end();
        });
    });
  }

  /**
   * Waits until no conversation of this type is being handled for another
   * process, for at most `timeoutMilliseconds`. Returns how many remain.
   */
  async waitUntilIdle<Opening, ClientMessage, ServerMessage>(
    conversation: PeerConversation<Opening, ClientMessage, ServerMessage>,
    timeoutMilliseconds: number,
  ): Promise<number> {
    const {timer} = this.options;
    const deadline = timer.now() + timeoutMilliseconds;
    const getCount = () => this.countConversations(conversation);
    while (getCount() > 0 && timer.now() < deadline) {
      await timer.sleep(CONVERSATION_POLL_INTERVAL_MILLISECONDS);
    }
    return getCount();
  }

  /** Returns how many conversations of this type are being handled. */
  countConversations<Opening, ClientMessage, ServerMessage>({
    name,
  }: PeerConversation<Opening, ClientMessage, ServerMessage>): number {
    return this.activeConversations.get(name) ?? 0;
  }

  override closeIdleLink(to: Address): void {
    const key = addressKey(to);
    const link = this.links.get(key);
    if (link === undefined || link.isBusy) return;
    this.links.delete(key);
    link.close();
  }

  override async close(): Promise<void> {
    this.stopIdleChecks();
    for (const link of this.links.values()) link.close();
    await this.server?.close();
  }

  private getOrCreateLink(to: Address): PeerLink {
    const key = addressKey(to);
    const existing = this.links.get(key);
    if (existing !== undefined) return existing;
    const link = PeerLink.create(to, this.options);
    this.links.set(key, link);
    return link;
  }

  private closeIdleLinks(): void {
    for (const [key, link] of this.links) {
      if (link.idleMilliseconds < LINK_IDLE_TIMEOUT_MILLISECONDS) continue;
      this.links.delete(key);
      link.close();
    }
  }

  private accept(socket: WebSocket): void {
    const {timer, maximumMessageBytes} = this.options;
    const link = AcceptedLink.start(socket, timer, maximumMessageBytes);
    socket.on('message', (data: Buffer) => {
      const frames = decodeFrames(data);
      if (frames === undefined) link.terminate();
      else for (const {frame, bytes} of frames) this.route(link, frame, bytes);
    });
  }

  private route(link: AcceptedLink, frame: PeerFrame, bytes: number): void {
    // A plain switch, since several frames arrive for each statement.
    switch (frame.kind) {
      case 'request':
        void link.serveRequest(frame.id, () => this.answerRequest(link, frame));
        return;
      case 'open':
        return this.openConversation(link, frame);
      case 'up':
        return link.deliver(frame.id, frame.body, bytes);
      case 'credit':
        return link.addCredit(frame.id, frame.bytes);
      case 'end':
        return link.closeChannel(frame.id);
      default:
        link.terminate();
    }
  }

  private async answerRequest(
    link: AcceptedLink,
    frame: Extract<PeerFrame, {kind: 'request'}>,
  ): Promise<void> {
    const handler = this.callHandlers.get(frame.name);
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
      this.options.logger.error('call handler failed', {
        name: frame.name,
        failure: String(failure),
      });
      link.send({kind: 'refusal', id: frame.id, reason: 'internal error'});
    }
  }

  private openConversation(
    link: AcceptedLink,
    frame: Extract<PeerFrame, {kind: 'open'}>,
  ): void {
    const handler = this.conversationHandlers.get(frame.name);
    if (handler === undefined || !link.canOpenConversation) {
      link.send({kind: 'end', id: frame.id, from: 'down'});
      return;
    }
    handler(frame.body, link, frame.id);
  }

  private adjustActiveCount(name: string, difference: number): void {
    this.activeConversations.set(
      name,
      (this.activeConversations.get(name) ?? 0) + difference,
    );
  }
}
