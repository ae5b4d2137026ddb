import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {LeaseInbox} from './lease_inbox.js';
import {LeaseOwnerMessage, LeaseClientMessage} from './lease_messages.js';

/** Answers up to this size, in bytes, are held back until they are complete. */
const MAXIMUM_BUFFERED_BYTES = 1 << 20;
/**
 * How long the lease client may take to pass on one part of an answer. A caller
 * that stops reading would otherwise occupy its slot indefinitely.
 */
const CLIENT_READY_TIMEOUT_MILLISECONDS = 60_000;

/** Dependencies of {@link AnswerRelay}. */
export interface AnswerRelayOptions {
  readonly channel: PeerChannel<LeaseOwnerMessage, LeaseClientMessage>;
  readonly inbox: LeaseInbox;
  readonly timer: TimerService;
  /**
   * Resolves to whether a majority of the group holds all data that the answer
   * may have shown so far.
   */
  readonly waitUntilConfirmed: () => Promise<boolean>;
}

/**
 * Holds an answer back until it is complete, if it fits into the buffer. A
 * longer answer is sent to the lease client in parts, each once its data is
 * confirmed. Only one part is in flight: the lease client requests the next one
 * when its caller has received the last.
 */
export class AnswerRelay {
  private buffered: Buffer[] = [];
  private bufferedBytes = 0;

  private constructor(private readonly options: AnswerRelayOptions) {}

  /** Creates a relay for one answer. */
  static create(options: AnswerRelayOptions): AnswerRelay {
    return new AnswerRelay(options);
  }

  /**
   * Adds complete protocol messages to the answer. Returns or resolves to
   * `true`, or resolves to `false` if the exchange must be ended because data
   * could not be confirmed or the lease client did not continue.
   */
  append(bytes: Buffer): true | Promise<boolean> {
    this.buffered.push(bytes);
    this.bufferedBytes += bytes.length;
    return this.bufferedBytes <= MAXIMUM_BUFFERED_BYTES ? true : this.forward();
  }

  /** Returns the bytes that have not been sent yet, and empties the buffer. */
  takeBuffered(): Buffer {
    const [only] = this.buffered;
    const bytes =
      this.buffered.length === 1
        ? (only as Buffer)
        : Buffer.concat(this.buffered);
    this.buffered = [];
    this.bufferedBytes = 0;
    return bytes;
  }

  private async forward(): Promise<boolean> {
    const {channel, inbox, waitUntilConfirmed, timer} = this.options;
    if (!(await waitUntilConfirmed())) return false;
    const readyForMore = inbox.waitUntilReadyForMore();
    const bytes = this.takeBuffered();
    if (!channel.send({kind: 'answer', bytes, confirmed: true})) return false;
    const timeout = CLIENT_READY_TIMEOUT_MILLISECONDS;
    return (await withTimeout(timer, timeout, readyForMore)) !== TIMED_OUT;
  }
}
