import {Either, Left, Right} from 'purify-ts';
import {WebSocket} from 'ws';
import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {Address} from './peer_address.js';
import {PeerCall, PeerConversation} from './peer_call.js';
import {LinkChannel, PeerChannel} from './peer_channel.js';
import {PeerError} from './peer_error.js';
import {decodeFrames, PeerFrame} from './peer_frame.js';
import {sendFrame} from './frame_sender.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const PING_PERIOD_MILLISECONDS = 400;
const SILENCE_LIMIT_MILLISECONDS = 1_200;

/** How links are made. */
export interface LinkOptions {
  readonly timer: TimerService;
  readonly key: string;
  readonly maximumMessageBytes: number;
}

/**
 * The dialling side of a link to one peer. It connects when first used and
 * again after a loss; a link that goes silent counts as lost.
 */
export class PeerLink {
  private socket: WebSocket | undefined;
  private ready: Promise<Either<PeerError, WebSocket>> | undefined;
  private nextId = 1;
  private readonly calls = new Map<number, Deferred<PeerFrame | undefined>>();
  private readonly channels = new Map<number, LinkChannel<unknown, unknown>>();

  private constructor(
    private readonly to: Address,
    private readonly options: LinkOptions,
  ) {}

  /** A link that is not connected yet. */
  static create(to: Address, options: LinkOptions): PeerLink {
    return new PeerLink(to, options);
  }

  /** Sends a request and waits for its answer. */
  async call<Request, Answer>(
    call: PeerCall<Request, Answer>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>> {
    const connected = await this.connected();
    if (connected.isLeft()) return connected as Either<PeerError, never>;
    const id = this.nextId++;
    const deferred = Deferred.create<PeerFrame | undefined>();
    this.calls.set(id, deferred);
    const sent = this.send({
      kind: 'request',
      id,
      name: call.name,
      body: request,
    });
    if (!sent) {
      this.calls.delete(id);
      return Left({kind: 'notSent', reason: 'the link is full or closed'});
    }
    const {timer} = this.options;
    const frame = await withTimeout(
      timer,
      timeoutMilliseconds,
      deferred.promise,
    );
    this.calls.delete(id);
    return readAnswer(call, frame);
  }

  /** Opens a conversation; its channel ends if the link is lost. */
  converse<Opening, Up, Down>(
    conversation: PeerConversation<Opening, Up, Down>,
    opening: Opening,
  ): PeerChannel<Up, Down> {
    const id = this.nextId++;
    const waiting: PeerFrame[] = [
      {kind: 'open', id, name: conversation.name, body: opening},
    ];
    let carried = false;
    const sendOrKeep = (frame: PeerFrame) => {
      if (carried) return this.send(frame);
      waiting.push(frame);
      return true;
    };
    const channel = LinkChannel.over<Up, Down>(
      {
        send: body => sendOrKeep({kind: 'up', id, body}),
        ended: () => {
          this.channels.delete(id);
          sendOrKeep({kind: 'end', id, from: 'up'});
        },
      },
      conversation.checkDown,
    );
    this.channels.set(id, channel as LinkChannel<unknown, unknown>);
    void this.connected().then(connected => {
      carried = true;
      const sent =
        connected.isRight() && waiting.every(frame => this.send(frame));
      if (!sent) this.closeChannel(id);
    });
    return channel;
  }

  /** Ends the link for good. */
  close(): void {
    this.socket?.terminate();
  }

  private connected(): Promise<Either<PeerError, WebSocket>> {
    if (this.socket?.readyState === WebSocket.OPEN) {
      return Promise.resolve(Right(this.socket));
    }
    this.ready ??= this.connect().finally(() => {
      this.ready = undefined;
    });
    return this.ready;
  }

  private async connect(): Promise<Either<PeerError, WebSocket>> {
    const {host, port} = this.to;
    const socket = new WebSocket(`ws://${host}:${port}/`, {
      headers: {authorization: `Bearer ${this.options.key}`},
      maxPayload: this.options.maximumMessageBytes,
      perMessageDeflate: false,
      skipUTF8Validation: true,
    });
    const opened = Deferred.create<Either<PeerError, WebSocket>>();
    socket.on('open', () => opened.resolve(Right(socket)));
    socket.on('error', error => {
      opened.resolve(Left({kind: 'notSent', reason: error.message}));
    });
    const {timer} = this.options;
    const outcome = await withTimeout(
      timer,
      CONNECT_TIMEOUT_MILLISECONDS,
      opened.promise,
    );
    if (outcome === TIMED_OUT) {
      socket.terminate();
      return Left({kind: 'notSent', reason: 'no connection in time'});
    }
    if (outcome.isRight()) this.adopt(socket);
    return outcome;
  }

  private adopt(socket: WebSocket): void {
    this.socket = socket;
    const stopWatching = watchForSilence(socket, this.options.timer);
    socket.on('message', (data: Buffer) => this.received(data));
    socket.on('close', () => {
      stopWatching();
      this.lost(socket);
    });
  }

  private received(data: Buffer): void {
    const frames = decodeFrames(data);
    if (frames === undefined) this.socket?.terminate();
    else for (const frame of frames) this.take(frame);
  }

  private take(frame: PeerFrame): void {
    if (frame.kind === 'answer' || frame.kind === 'refusal') {
      this.calls.get(frame.id)?.resolve(frame);
    } else if (frame.kind === 'down') {
      this.channels.get(frame.id)?.deliver(frame.body);
    } else if (frame.kind === 'end') {
      this.closeChannel(frame.id);
    }
  }

  private lost(socket: WebSocket): void {
    if (this.socket !== socket) return;
    this.socket = undefined;
    for (const call of this.calls.values()) call.resolve(undefined);
    for (const id of [...this.channels.keys()]) this.closeChannel(id);
  }

  private closeChannel(id: number): void {
    this.channels.get(id)?.closed();
    this.channels.delete(id);
  }

  private send(frame: PeerFrame): boolean {
    return sendFrame(this.socket, frame);
  }
}

/**
 * Ends a socket on which nothing has come for too long: something between the
 * two ends may have lost track of it while new connections work.
 */
export function watchForSilence(
  socket: WebSocket,
  timer: TimerService,
): () => void {
  let heardAt = timer.now();
  const heard = () => {
    heardAt = timer.now();
  };
  socket.on('message', heard);
  socket.on('pong', heard);
  socket.on('ping', heard);
  return timer.every(PING_PERIOD_MILLISECONDS, () => {
    if (timer.now() - heardAt > SILENCE_LIMIT_MILLISECONDS) socket.terminate();
    else if (socket.readyState === WebSocket.OPEN) socket.ping();
  });
}

function readAnswer<Request, Answer>(
  call: PeerCall<Request, Answer>,
  frame: PeerFrame | typeof TIMED_OUT | undefined,
): Either<PeerError, Answer> {
  if (frame === TIMED_OUT) {
    return Left({kind: 'noAnswer', reason: 'no answer in time'});
  }
  if (frame === undefined) {
    return Left({kind: 'noAnswer', reason: 'the link was lost'});
  }
  if (frame.kind === 'refusal') {
    return Left({kind: 'refused', reason: frame.reason});
  }
  const body = frame.kind === 'answer' ? frame.body : undefined;
  return call
    .checkAnswer(body)
    .mapLeft((): PeerError => ({kind: 'malformedAnswer'}));
}
