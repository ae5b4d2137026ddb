import {PeerChannel} from '@apricotlock/peer';
import {WorkDown, WorkStatement, WorkUp} from './work_messages.js';

/** A conversation with the session for which work is done. */
export type WorkLink = PeerChannel<WorkDown, WorkUp>;

/** What the session says after its first statement, read one ahead. */
export class WorkInbox {
  /** Resolves if the session goes away, or releases, before it goes on. */
  readonly gone: Promise<void>;
  private ahead: Promise<WorkUp | undefined>;

  private constructor(private readonly channel: WorkLink) {
    this.ahead = channel.receive();
    this.gone = this.ahead.then(message =>
      message?.kind === 'run' ? new Promise<void>(() => undefined) : undefined,
    );
  }

  /** The messages of a channel from now on. */
  static over(channel: WorkLink): WorkInbox {
    return new WorkInbox(channel);
  }

  /** The next statement; `undefined` once the session is through or gone. */
  async next(): Promise<WorkStatement | undefined> {
    const message = await this.ahead;
    if (message?.kind !== 'run') return undefined;
    this.ahead = this.channel.receive();
    return message;
  }
}
