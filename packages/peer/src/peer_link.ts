import {Either, Left, Right} from 'purify-ts';
import {WebSocket} from 'ws';
import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {sendEncoded, sendFrame} from './frame_sender.js';
import {LinkOptions} from './link_options.js';
import {monitorLinkLiveness} from './link_liveness_monitor.js';
import {Address} from './peer_address.js';
import {PeerCall} from './peer_call.js';
import {ChannelCarrier, LinkChannel, PeerChannel} from './peer_channel.js';
import {dialPeer} from './peer_dial.js';
import {PeerConversation} from './peer_conversation.js';
import {PeerError} from './peer_error.js';
import {decodeFrames, encodeFrame, PeerFrame} from './peer_frame.js';

const MAXIMUM_OPEN_CALLS = 16_384;

/**
 * The dialling side of a link to one peer. It connects on first use and again
 * after the connection is lost. A link that stops responding counts as lost.
 */
export class PeerLink {
  private socket: WebSocket | undefined;
  private connecting: Promise<Either<PeerError, WebSocket>> | undefined;
  private nextId = 1;
  private lastUsedAt: number;
  private readonly pendingCalls = new Map<
    number,
    Deferred<PeerFrame | undefined>
  >();
  /** Calls whose request has not been sent, because they await a connection. */
  private readonly unsentCalls = new Set<number>();
  private readonly channels = new Map<number, LinkChannel<unknown, unknown>>();

  private constructor(
    private readonly to: Address,
    private readonly options: LinkOptions,
  ) {
    this.lastUsedAt = options.timer.now();
  }

  /** Creates a link that is not connected yet. */
  static create(to: Address, options: LinkOptions): PeerLink {
    return new PeerLink(to, options);
  }

  /** Milliseconds since the last call or conversation ended; 0 while in use. */
  get idleMilliseconds(): number {
    return this.isBusy ? 0 : this.options.timer.now() - this.lastUsedAt;
  }

  /**
   * Sends a request and resolves to its answer, or to an error after
   * `timeoutMilliseconds`.
   */
  async call<Request, Answer>(
    call: PeerCall<Request, Answer>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>> {
    if (this.pendingCalls.size >= MAXIMUM_OPEN_CALLS) return Left(CANNOT_SEND);
    const id = this.nextId++;
    const deferred = Deferred.create<PeerFrame | undefined>();
    this.pendingCalls.set(id, deferred);
    this.unsentCalls.add(id);
    // The timeout includes the time for connecting, so it limits the whole
    // wait.
    const answer = await withTimeout(
      this.options.timer,
      timeoutMilliseconds,
      this.exchange(
        {kind: 'request', id, name: call.name, body: request},
        deferred,
      ),
    );
    this.pendingCalls.delete(id);
    this.lastUsedAt = this.options.timer.now();
    if (answer === TIMED_OUT) {
      deferred.resolve(undefined);
      return Left(
        this.unsentCalls.delete(id) ? CONNECTION_TIMED_OUT : ANSWER_TIMED_OUT,
      );
    }
    return answer.chain(frame => readAnswer(call, frame));
  }

  /**
   * Opens a conversation. Messages are buffered until the link is connected,
   * and the channel ends if the link is lost.
   */
  converse<Opening, ClientMessage, ServerMessage>(
    conversation: PeerConversation<Opening, ClientMessage, ServerMessage>,
    opening: Opening,
  ): PeerChannel<ClientMessage, ServerMessage> {
    const id = this.nextId++;
    const {name} = conversation;
    const body = conversation.packOpening(opening);
    const openFrame = encodeFrame({kind: 'open', id, name, body});
    let isConnected = this.socket?.readyState === WebSocket.OPEN;
    const bufferedFrames = [openFrame];
    const sendOrBuffer = (encoded: Buffer) => {
      if (isConnected) return this.sendEncoded(encoded);
      bufferedFrames.push(encoded);
      return true;
    };
    const channel = LinkChannel.create<ClientMessage, ServerMessage>(
      this.createCarrier(
        id,
        conversation.clientMessageCodec.pack,
        sendOrBuffer,
      ),
      conversation.serverMessageCodec.read,
    );
    this.channels.set(id, channel as LinkChannel<unknown, unknown>);
    if (isConnected) {
      if (!this.sendEncoded(openFrame)) this.closeChannel(id);
      return channel;
    }
    void this.ensureConnected().then(connection => {
      isConnected = true;
      const sent =
        connection.isRight() &&
        bufferedFrames.every(frame => this.sendEncoded(frame));
      if (!sent) this.closeChannel(id);
    });
    return channel;
  }

  /** Closes the connection. Open calls and conversations end. */
  close(): void {
    this.socket?.terminate();
  }

  /** Whether a call or conversation is open. */
  get isBusy(): boolean {
    return this.pendingCalls.size > 0 || this.channels.size > 0;
  }

  private createCarrier<Sent>(
    id: number,
    pack: (message: Sent) => unknown,
    send: (encoded: Buffer) => boolean,
  ): ChannelCarrier<Sent> {
    return {
      prepare: message => {
        const body = pack(message);
        const encoded = encodeFrame({kind: 'up', id, body});
        return {bytes: encoded.length, transmit: () => send(encoded)};
      },
      sendCredit: bytes => this.send({kind: 'credit', id, bytes}),
      sendEnd: () => {
        this.channels.delete(id);
        this.lastUsedAt = this.options.timer.now();
        send(encodeFrame({kind: 'end', id, from: 'up'}));
      },
    };
  }

  private async exchange(
    request: PeerFrame,
    answer: Deferred<PeerFrame | undefined>,
  ): Promise<Either<PeerError, PeerFrame>> {
    const connection = await this.ensureConnected();
    if (connection.isLeft()) {
      this.unsentCalls.delete(request.id);
      return connection as Either<PeerError, never>;
    }
    // The call timed out before its request was sent.
    if (!this.unsentCalls.delete(request.id)) return Left(LINK_LOST);
    if (!this.send(request)) return Left(CANNOT_SEND);
    const frame = await answer.promise;
    return frame === undefined ? Left(LINK_LOST) : Right(frame);
  }

  private ensureConnected(): Promise<Either<PeerError, WebSocket>> {
    if (this.socket?.readyState === WebSocket.OPEN) {
      return Promise.resolve(Right(this.socket));
    }
    this.connecting ??= this.connect().finally(() => {
      this.connecting = undefined;
    });
    return this.connecting;
  }

  private async connect(): Promise<Either<PeerError, WebSocket>> {
    const connection = await dialPeer(this.to, this.options);
    connection.ifRight(socket => this.attachSocket(socket));
    return connection;
  }

  private attachSocket(socket: WebSocket): void {
    this.socket = socket;
    const stopMonitoring = monitorLinkLiveness({
      socket,
      timer: this.options.timer,
      isBusy: () => this.isBusy,
      sendsPings: true,
    });
    socket.on('message', (data: Buffer) => this.handleMessage(data));
    socket.on('close', () => {
      stopMonitoring();
      this.handleDisconnect(socket);
    });
  }

  private handleMessage(data: Buffer): void {
    const frames = decodeFrames(data);
    if (frames === undefined) this.socket?.terminate();
    else for (const {frame, bytes} of frames) this.handleFrame(frame, bytes);
  }

  private handleFrame(frame: PeerFrame, bytes: number): void {
    const {id} = frame;
    // A plain switch, since several frames arrive for each statement.
    switch (frame.kind) {
      case 'answer':
      case 'refusal':
        return this.pendingCalls.get(id)?.resolve(frame);
      case 'down':
        return this.channels.get(id)?.deliver(frame.body, bytes);
      case 'credit':
        return this.channels.get(id)?.addCredit(frame.bytes);
      case 'end':
        return this.closeChannel(id);
      default:
        this.socket?.terminate();
    }
  }

  private handleDisconnect(socket: WebSocket): void {
    if (this.socket !== socket) return;
    this.socket = undefined;
    for (const call of this.pendingCalls.values()) call.resolve(undefined);
    for (const id of [...this.channels.keys()]) this.closeChannel(id);
  }

  private closeChannel(id: number): void {
    this.channels.get(id)?.close();
    this.channels.delete(id);
    this.lastUsedAt = this.options.timer.now();
  }

  private send(frame: PeerFrame): boolean {
    return sendFrame(this.socket, frame, this.options.maximumMessageBytes);
  }

  private sendEncoded(encoded: Buffer): boolean {
    const {maximumMessageBytes} = this.options;
    return sendEncoded(this.socket, encoded, maximumMessageBytes);
  }
}

const CANNOT_SEND: PeerError = {
  kind: 'notSent',
  reason: 'link is full or closed, or message is too large',
};
const LINK_LOST: PeerError = {kind: 'noAnswer', reason: 'link was lost'};
const CONNECTION_TIMED_OUT: PeerError = {
  kind: 'notSent',
  reason: 'connection timed out',
};
const ANSWER_TIMED_OUT: PeerError = {
  kind: 'noAnswer',
  reason: 'answer timed out',
};

function readAnswer<Request, Answer>(
  call: PeerCall<Request, Answer>,
  frame: PeerFrame,
): Either<PeerError, Answer> {
  if (frame.kind === 'refusal') {
    return Left({kind: 'refused', reason: frame.reason});
  }
  const body = frame.kind === 'answer' ? frame.body : undefined;
  return call
    .checkAnswer(body)
    .mapLeft((): PeerError => ({kind: 'malformedAnswer'}));
}
