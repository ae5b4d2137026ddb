import {WebSocket} from 'ws';
import {TimerService} from '@apricotlock/timer';
import {sendEncoded, sendFrame} from './frame_sender.js';
import {monitorLinkLiveness} from './link_liveness_monitor.js';
import {LinkChannel, PeerChannel} from './peer_channel.js';
import {MessageCodec} from './peer_conversation.js';
import {encodeFrame, PeerFrame} from './peer_frame.js';

const MAXIMUM_OPEN_CONVERSATIONS = 16_384;
const MAXIMUM_OPEN_REQUESTS = 16_384;

/** The accepting side of a link between two processes. */
export class AcceptedLink {
  private readonly channels = new Map<number, LinkChannel<unknown, unknown>>();
  private openRequests = 0;

  private constructor(
    private readonly socket: WebSocket,
    private readonly maximumMessageBytes: number,
  ) {}

  /** Starts a link over `socket` and monitors its liveness. */
  static start(
    socket: WebSocket,
    timer: TimerService,
    maximumMessageBytes: number,
  ): AcceptedLink {
    const link = new AcceptedLink(socket, maximumMessageBytes);
    const stopMonitoring = monitorLinkLiveness({
      socket,
      timer,
      isBusy: () => link.channels.size > 0,
      sendsPings: false,
    });
    socket.on('error', () => socket.terminate());
    socket.on('close', () => {
      stopMonitoring();
      for (const id of [...link.channels.keys()]) link.closeChannel(id);
    });
    return link;
  }

  /** Whether the other side may open another conversation. */
  get canOpenConversation(): boolean {
    return this.channels.size < MAXIMUM_OPEN_CONVERSATIONS;
  }

  /** Sends a frame. Returns `false` if it cannot be sent. */
  send(frame: PeerFrame): boolean {
    return sendFrame(this.socket, frame, this.maximumMessageBytes);
  }

  /**
   * Runs `work` for the request `id`, and counts the request as open until it
   * completes. Refuses the request if too many are open.
   */
  async serveRequest(id: number, work: () => Promise<void>): Promise<void> {
    if (this.openRequests >= MAXIMUM_OPEN_REQUESTS) {
      this.send({kind: 'refusal', id, reason: 'too many open requests'});
      return;
    }
    this.openRequests += 1;
    await work();
    this.openRequests -= 1;
  }

  /** Creates the channel of conversation `id`, opened by the other side. */
  openChannel<Sent, Received>(
    id: number,
    sent: MessageCodec<Sent>,
    received: MessageCodec<Received>,
  ): PeerChannel<Sent, Received> {
    const channel = LinkChannel.create<Sent, Received>(
      {
        prepare: message => {
          const body = sent.pack(message);
          const encoded = encodeFrame({kind: 'down', id, body});
          const transmit = () => this.sendEncoded(encoded);
          return {bytes: encoded.length, transmit};
        },
        sendCredit: bytes => this.send({kind: 'credit', id, bytes}),
        sendEnd: () => {
          this.channels.delete(id);
          this.send({kind: 'end', id, from: 'down'});
        },
      },
      received.read,
    );
    this.channels.set(id, channel as LinkChannel<unknown, unknown>);
    return channel;
  }

  /** Delivers a received message to conversation `id`. */
  deliver(id: number, body: unknown, bytes: number): void {
    this.channels.get(id)?.deliver(body, bytes);
  }

  /** Adds send credit for `bytes` that the other side has consumed. */
  addCredit(id: number, bytes: number): void {
    this.channels.get(id)?.addCredit(bytes);
  }

  /** Closes the channel of a conversation that the other side has ended. */
  closeChannel(id: number): void {
    this.channels.get(id)?.close();
    this.channels.delete(id);
  }

  /** Terminates the link, after a protocol violation by the other side. */
  terminate(): void {
    this.socket.terminate();
  }

  private sendEncoded(encoded: Buffer): boolean {
    return sendEncoded(this.socket, encoded, this.maximumMessageBytes);
  }
}
