import {match, P} from 'ts-pattern';
import {Either, Left, Right} from 'purify-ts';
import {WebSocket} from 'ws';
import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {sendEncoded, sendFrame} from './frame_sender.js';
import {LinkOptions} from './link_options.js';
import {watchForSilence} from './link_watch.js';
import {Address} from './peer_address.js';
import {PeerCall, PeerConversation} from './peer_call.js';
import {ChannelCarrier, LinkChannel, PeerChannel} from './peer_channel.js';
import {dialPeer} from './peer_dial.js';
import {PeerError} from './peer_error.js';
import {decodeFrames, encodeFrame, PeerFrame} from './peer_frame.js';

const MAXIMUM_OPEN_CALLS = 16_384;

/**
 * The dialling side of a link to one peer. It connects when first used and
 * again after a loss; a link that goes silent counts as lost.
 */
export class PeerLink {
  private socket: WebSocket | undefined;
  private ready: Promise<Either<PeerError, WebSocket>> | undefined;
  private nextId = 1;
  private usedAt: number;
  private readonly calls = new Map<number, Deferred<PeerFrame | undefined>>();
  /** Calls that wait for a connection: nothing of them has been sent. */
  private readonly unsent = new Set<number>();
  private readonly channels = new Map<number, LinkChannel<unknown, unknown>>();

  private constructor(
    private readonly to: Address,
    private readonly options: LinkOptions,
  ) {
    this.usedAt = options.timer.now();
  }

  /** A link that is not connected yet. */
  static create(to: Address, options: LinkOptions): PeerLink {
    return new PeerLink(to, options);
  }

  /** How long nothing has been under way on it, in milliseconds. */
  get idleMilliseconds(): number {
    return this.busy ? 0 : this.options.timer.now() - this.usedAt;
  }

  /** Sends a request and waits for its answer. */
  async call<Request, Answer>(
    call: PeerCall<Request, Answer>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>> {
    if (this.calls.size >= MAXIMUM_OPEN_CALLS) return Left(LINK_FULL);
    const id = this.nextId++;
    const deferred = Deferred.create<PeerFrame | undefined>();
    this.calls.set(id, deferred);
    this.unsent.add(id);
    // The time for connecting counts too: who calls must not wait for longer.
    const answer = await withTimeout(
      this.options.timer,
      timeoutMilliseconds,
      this.exchange(
        {kind: 'request', id, name: call.name, body: request},
        deferred,
      ),
    );
    this.calls.delete(id);
    this.usedAt = this.options.timer.now();
    if (answer === TIMED_OUT) {
      deferred.resolve(undefined);
      return Left(
        this.unsent.delete(id) ? NO_CONNECTION_IN_TIME : NO_ANSWER_IN_TIME,
      );
    }
    return answer.chain(frame => readAnswer(call, frame));
  }

  /** Opens a conversation; its channel ends if the link is lost. */
  converse<Opening, Up, Down>(
    conversation: PeerConversation<Opening, Up, Down>,
    opening: Opening,
  ): PeerChannel<Up, Down> {
    const id = this.nextId++;
    const {name} = conversation;
    const kept = [encodeFrame({kind: 'open', id, name, body: opening})];
    let carried = false;
    const sendOrKeep = (encoded: Buffer) => {
      if (carried) return this.sendEncoded(encoded);
      kept.push(encoded);
      return true;
    };
    const channel = LinkChannel.over<Up, Down>(
      this.carrier(id, sendOrKeep),
      conversation.checkDown,
    );
    this.channels.set(id, channel as LinkChannel<unknown, unknown>);
    void this.connected().then(connected => {
      carried = true;
      const sent =
        connected.isRight() && kept.every(frame => this.sendEncoded(frame));
      if (!sent) this.closeChannel(id);
    });
    return channel;
  }

  /** Ends the link for good. */
  close(): void {
    this.socket?.terminate();
  }

  private get busy(): boolean {
    return this.calls.size > 0 || this.channels.size > 0;
  }

  private carrier(
    id: number,
    send: (encoded: Buffer) => boolean,
  ): ChannelCarrier {
    return {
      prepare: body => {
        const encoded = encodeFrame({kind: 'up', id, body});
        return {bytes: encoded.length, transmit: () => send(encoded)};
      },
      credit: bytes => this.send({kind: 'credit', id, bytes}),
      ended: () => {
        this.channels.delete(id);
        this.usedAt = this.options.timer.now();
        send(encodeFrame({kind: 'end', id, from: 'up'}));
      },
    };
  }

  private async exchange(
    request: PeerFrame,
    answer: Deferred<PeerFrame | undefined>,
  ): Promise<Either<PeerError, PeerFrame>> {
    const connected = await this.connected();
    if (connected.isLeft()) {
      this.unsent.delete(request.id);
      return connected as Either<PeerError, never>;
    }
    // Nobody waits any more for what was not sent in time.
    if (!this.unsent.delete(request.id)) return Left(LINK_LOST);
    if (!this.send(request)) return Left(LINK_FULL);
    const frame = await answer.promise;
    return frame === undefined ? Left(LINK_LOST) : Right(frame);
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
    const dialled = await dialPeer(this.to, this.options);
    dialled.ifRight(socket => this.adopt(socket));
    return dialled;
  }

  private adopt(socket: WebSocket): void {
    this.socket = socket;
    const stopWatching = watchForSilence({
      socket,
      timer: this.options.timer,
      busy: () => this.busy,
      pings: true,
    });
    socket.on('message', (data: Buffer) => this.received(data));
    socket.on('close', () => {
      stopWatching();
      this.lost(socket);
    });
  }

  private received(data: Buffer): void {
    const frames = decodeFrames(data);
    if (frames === undefined) this.socket?.terminate();
    else for (const {frame, bytes} of frames) this.take(frame, bytes);
  }

  private take(frame: PeerFrame, bytes: number): void {
    const {id} = frame;
    match(frame)
      .with({kind: P.union('answer', 'refusal')}, answer =>
        this.calls.get(id)?.resolve(answer),
      )
      .with({kind: 'down'}, ({body}) =>
        this.channels.get(id)?.deliver(body, bytes),
      )
      .with({kind: 'credit'}, credit =>
        this.channels.get(id)?.credited(credit.bytes),
      )
      .with({kind: 'end'}, () => this.closeChannel(id))
      .otherwise(() => this.socket?.terminate());
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
    this.usedAt = this.options.timer.now();
  }

  private send(frame: PeerFrame): boolean {
    return sendFrame(this.socket, frame, this.options.maximumMessageBytes);
  }

  private sendEncoded(encoded: Buffer): boolean {
    const {maximumMessageBytes} = this.options;
    return sendEncoded(this.socket, encoded, maximumMessageBytes);
  }
}

const LINK_FULL: PeerError = {
  kind: 'notSent',
  reason: 'the link is full or closed, or the message too large',
};
const LINK_LOST: PeerError = {kind: 'noAnswer', reason: 'the link was lost'};
const NO_CONNECTION_IN_TIME: PeerError = {
  kind: 'notSent',
  reason: 'no connection in time',
};
const NO_ANSWER_IN_TIME: PeerError = {
  kind: 'noAnswer',
  reason: 'no answer in time',
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
