import {WebSocket} from 'ws';
import {TimerService} from '@apricotlock/timer';
import {sendEncoded, sendFrame} from './frame_sender.js';
import {watchForSilence} from './link_watch.js';
import {Check} from './peer_call.js';
import {LinkChannel, PeerChannel} from './peer_channel.js';
import {encodeFrame, PeerFrame} from './peer_frame.js';

const MAXIMUM_OPEN_CONVERSATIONS = 16_384;
const MAXIMUM_OPEN_REQUESTS = 16_384;

/** The accepting side of a link. */
export class AcceptedLink {
  private readonly channels = new Map<number, LinkChannel<unknown, unknown>>();
  private openRequests = 0;

  private constructor(
    private readonly socket: WebSocket,
    private readonly maximumMessageBytes: number,
  ) {}

  /** The link over `socket`, watched for silence from now on. */
  static of(
    socket: WebSocket,
    timer: TimerService,
    maximumMessageBytes: number,
  ): AcceptedLink {
    const link = new AcceptedLink(socket, maximumMessageBytes);
    const stopWatching = watchForSilence({
      socket,
      timer,
      busy: () => link.channels.size > 0,
      pings: false,
    });
    socket.on('error', () => socket.terminate());
    socket.on('close', () => {
      stopWatching();
      for (const id of [...link.channels.keys()]) link.closed(id);
    });
    return link;
  }

  /** Whether the other side may open one conversation more. */
  get hasRoom(): boolean {
    return this.channels.size < MAXIMUM_OPEN_CONVERSATIONS;
  }

  /** Sends a frame; `false` if it cannot be sent. */
  send(frame: PeerFrame): boolean {
    return sendFrame(this.socket, frame, this.maximumMessageBytes);
  }

  /** Counts a request as open while `work` lasts; refuses one too many. */
  async serve(id: number, work: () => Promise<void>): Promise<void> {
    if (this.openRequests >= MAXIMUM_OPEN_REQUESTS) {
      this.send({kind: 'refusal', id, reason: 'too many open requests'});
      return;
    }
    this.openRequests += 1;
    await work();
    this.openRequests -= 1;
  }

  /** This side of the conversation `id`, which the other side has opened. */
  openChannel<Sent, Received>(
    id: number,
    check: Check<Received>,
  ): PeerChannel<Sent, Received> {
    const channel = LinkChannel.over<Sent, Received>(
      {
        prepare: body => {
          const encoded = encodeFrame({kind: 'down', id, body});
          const transmit = () => this.sendEncoded(encoded);
          return {bytes: encoded.length, transmit};
        },
        credit: bytes => this.send({kind: 'credit', id, bytes}),
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

  /** A message of a conversation has come. */
  deliver(id: number, body: unknown, bytes: number): void {
    this.channels.get(id)?.deliver(body, bytes);
  }

  /** The other side of a conversation has taken as many bytes. */
  credited(id: number, bytes: number): void {
    this.channels.get(id)?.credited(bytes);
  }

  /** The other side has ended a conversation. */
  closed(id: number): void {
    this.channels.get(id)?.closed();
    this.channels.delete(id);
  }

  /** Ends the link: what came does not follow the protocol. */
  terminate(): void {
    this.socket.terminate();
  }

  private sendEncoded(encoded: Buffer): boolean {
    return sendEncoded(this.socket, encoded, this.maximumMessageBytes);
  }
}
