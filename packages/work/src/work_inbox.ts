import {PeerChannel} from '@apricotlock/peer';
import {
  WorkServerMessage,
  WorkStatement,
  WorkClientMessage,
} from './work_messages.js';

/** The channel to the session for which statements are run. */
export type WorkServerChannel = PeerChannel<
  WorkServerMessage,
  WorkClientMessage
>;

/**
 * Reads the messages that a session sends after its first statement. One
 * message is read ahead, so that a session that ends while its work is queued
 * is noticed.
 */
export class WorkInbox {
  /**
   * Resolves if the session disconnects or releases the work before it sends
   * another statement; otherwise never resolves.
   */
  readonly abandoned: Promise<void>;
  private nextMessage: Promise<WorkClientMessage | undefined>;

  private constructor(private readonly channel: WorkServerChannel) {
    this.nextMessage = channel.receive();
    this.abandoned = this.nextMessage.then(message =>
      message?.kind === 'run' ? new Promise<void>(() => undefined) : undefined,
    );
  }

  /** Starts reading the messages of a channel. */
  static create(channel: WorkServerChannel): WorkInbox {
    return new WorkInbox(channel);
  }

  /**
   * Resolves to the next statement, or `undefined` once the session has released
   * the work or disconnected.
   */
  async receiveStatement(): Promise<WorkStatement | undefined> {
    const message = await this.nextMessage;
    if (message?.kind !== 'run') return undefined;
    this.nextMessage = this.channel.receive();
    return message;
  }
}
