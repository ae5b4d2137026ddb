import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {LeaseInbox} from './lease_inbox.js';
import {LeaseDown, LeaseUp} from './lease_messages.js';

/** How much of an answer is kept back until its end, in bytes. */
const MAXIMUM_HELD_BYTES = 1 << 20;
/** How long a holder may take to pass a part on. */
const HOLDER_PAUSE_LIMIT_MILLISECONDS = 60_000;

/** What the relay of one answer needs. */
export interface AnswerRelayOptions {
  readonly channel: PeerChannel<LeaseDown, LeaseUp>;
  readonly inbox: LeaseInbox;
  readonly timer: TimerService;
  /** Whether all that the answer has shown up to now is confirmed. */
  readonly confirm: () => Promise<boolean>;
}

/**
 * Keeps an answer back until its end, as far as that fits. Of a longer one,
 * parts go to the holder as soon as what they show is confirmed, one at a
 * time: the holder asks for the next once its caller has taken the last.
 */
export class AnswerRelay {
  private held: Buffer[] = [];
  private heldBytes = 0;

  private constructor(private readonly options: AnswerRelayOptions) {}

  /** A relay for one answer. */
  static create(options: AnswerRelayOptions): AnswerRelay {
    return new AnswerRelay(options);
  }

  /** Takes whole messages; `false` if the answer cannot go on. */
  take(bytes: Buffer): true | Promise<boolean> {
    this.held.push(bytes);
    this.heldBytes += bytes.length;
    return this.heldBytes <= MAXIMUM_HELD_BYTES ? true : this.passOn();
  }

  /** What has not been passed on yet. */
  rest(): Buffer {
    const [only] = this.held;
    const rest =
      this.held.length === 1 ? (only as Buffer) : Buffer.concat(this.held);
    this.held = [];
    this.heldBytes = 0;
    return rest;
  }

  private async passOn(): Promise<boolean> {
    const {channel, inbox, confirm, timer} = this.options;
    if (!(await confirm())) return false;
    const room = inbox.roomForMore();
    const bytes = this.rest();
    if (!channel.send({kind: 'answer', bytes, confirmed: true})) return false;
    // A caller that reads no more must not keep its slot for ever.
    const limit = HOLDER_PAUSE_LIMIT_MILLISECONDS;
    return (await withTimeout(timer, limit, room)) !== TIMED_OUT;
  }
}
