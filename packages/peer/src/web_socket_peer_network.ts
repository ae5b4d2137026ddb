import {timingSafeEqual} from 'node:crypto';
import {createServer, IncomingMessage, Server} from 'node:http';
import {Either} from 'purify-ts';
import {WebSocket, WebSocketServer} from 'ws';
import {Logger} from '@apricotlock/logging';
import {Address, addressKey} from './peer_address.js';
import {PeerCall, PeerConversation} from './peer_call.js';
import {LinkChannel, PeerChannel} from './peer_channel.js';
import {PeerError} from './peer_error.js';
import {sendFrame} from './frame_sender.js';
import {decodeFrames, PeerFrame} from './peer_frame.js';
import {LinkOptions, PeerLink, watchForSilence} from './peer_link.js';
import {CallHandler, ConversationHandler, PeerNetwork} from './peer_network.js';

type AnyCall = (body: unknown) => Promise<Either<string, unknown>>;
type AnyConversation = (
  opening: unknown,
  link: AcceptedLink,
  id: number,
) => void;

/** Options of {@link WebSocketPeerNetwork}. */
export interface PeerNetworkOptions extends LinkOptions {
  readonly listen: Address;
  readonly logger: Logger;
}

/** Calls between processes over WebSocket links, with MessagePack. */
export class WebSocketPeerNetwork extends PeerNetwork {
  private readonly links = new Map<string, PeerLink>();
  private readonly calls = new Map<string, AnyCall>();
  private readonly conversations = new Map<string, AnyConversation>();

  private constructor(
    private readonly options: PeerNetworkOptions,
    private readonly server: Server,
    private readonly sockets: WebSocketServer,
  ) {
    super();
    sockets.on('connection', socket => this.accept(socket));
  }

  /** Starts to listen. Throws if the address can't be had. */
  static async start(
    options: PeerNetworkOptions,
  ): Promise<WebSocketPeerNetwork> {
    const server = createServer((_request, response) => {
      response.writeHead(404).end();
    });
    const sockets = new WebSocketServer({
      noServer: true,
      maxPayload: options.maximumMessageBytes,
      perMessageDeflate: false,
      skipUTF8Validation: true,
    });
    server.on('upgrade', (request, socket, head) => {
      if (!hasKey(request, options.key)) {
        socket.end('HTTP/1.1 401 Unauthorized\r\nConnection: close\r\n\r\n');
        return;
      }
      sockets.handleUpgrade(request, socket, head, accepted => {
        sockets.emit('connection', accepted, request);
      });
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.listen.port, options.listen.host, resolve);
    });
    return new WebSocketPeerNetwork(options, server, sockets);
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
      handler(opening.unsafeCoerce(), channel)
        .catch((failure: unknown) => {
          this.options.logger.error('a conversation failed', {
            name: conversation.name,
            failure: String(failure),
          });
        })
        .finally(() => channel.end());
    });
  }

  override async close(): Promise<void> {
    for (const link of this.links.values()) link.close();
    for (const socket of this.sockets.clients) socket.terminate();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private linkTo(to: Address): PeerLink {
    const key = addressKey(to);
    const known = this.links.get(key);
    if (known !== undefined) return known;
    const link = PeerLink.create(to, this.options);
    this.links.set(key, link);
    return link;
  }

  private accept(socket: WebSocket): void {
    const link = AcceptedLink.of(socket);
    const stopWatching = watchForSilence(socket, this.options.timer);
    socket.on('error', () => socket.terminate());
    socket.on('close', () => {
      stopWatching();
      link.lost();
    });
    socket.on('message', (data: Buffer) => {
      const frames = decodeFrames(data);
      if (frames === undefined) socket.terminate();
      else for (const frame of frames) this.received(link, frame);
    });
  }

  private received(link: AcceptedLink, frame: PeerFrame): void {
    if (frame.kind === 'request') void this.answer(link, frame);
    else if (frame.kind === 'open') this.open(link, frame);
    else if (frame.kind === 'up') link.deliver(frame.id, frame.body);
    else if (frame.kind === 'end') link.closed(frame.id);
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
    if (handler === undefined) {
      link.send({kind: 'end', id: frame.id, from: 'down'});
      return;
    }
    handler(frame.body, link, frame.id);
  }
}

/** The accepting side of a link. */
class AcceptedLink {
  private readonly channels = new Map<number, LinkChannel<unknown, unknown>>();

  private constructor(private readonly socket: WebSocket) {}

  static of(socket: WebSocket): AcceptedLink {
    return new AcceptedLink(socket);
  }

  send(frame: PeerFrame): boolean {
    return sendFrame(this.socket, frame);
  }

  openChannel<Sent, Received>(
    id: number,
    check: (candidate: unknown) => Received | undefined,
  ): PeerChannel<Sent, Received> {
    const channel = LinkChannel.over<Sent, Received>(
      {
        send: body => this.send({kind: 'down', id, body}),
        ended: () => {
          this.channels.delete(id);
          this.send({kind: 'end', id, from: 'down'});
        },
      },
      check,
    );
    this.channels.set(id, channel as LinkChannel<unknown, unknown>);
    return channel;
  }

  deliver(id: number, body: unknown): void {
    this.channels.get(id)?.deliver(body);
  }

  closed(id: number): void {
    this.channels.get(id)?.closed();
    this.channels.delete(id);
  }

  lost(): void {
    for (const id of [...this.channels.keys()]) this.closed(id);
  }
}

function hasKey(request: IncomingMessage, key: string): boolean {
  const given = Buffer.from(request.headers.authorization ?? '');
  const wanted = Buffer.from(`Bearer ${key}`);
  return given.length === wanted.length && timingSafeEqual(given, wanted);
}
