import {MemberConnection, SessionValues} from '@apricotlock/statement';
import {ConnectionContext, ContextChange} from './connection_context.js';
import {WorkText} from './work_messages.js';

/** A connection to a member, with what sessions have left on it. */
export class WorkConnection {
  private contextHeld = ConnectionContext.EMPTY;
  private spoiltHeld = false;

  private constructor(
    readonly member: MemberConnection,
    /** On the timer's clock, in milliseconds. */
    readonly openedAt: number,
    public usedAt: number,
  ) {}

  /** A connection that was just opened. */
  static of(member: MemberConnection, now: number): WorkConnection {
    return new WorkConnection(member, now, now);
  }

  /** Whether a session with these values needs no reset. */
  suits(values: SessionValues): boolean {
    return this.contextHeld.suits(values);
  }

  /** Whether nobody knows any more what the connection has. */
  get spoilt(): boolean {
    return this.spoiltHeld;
  }

  /** Nobody knows what it has now: it must not be used again. */
  spoil(): void {
    this.spoiltHeld = true;
  }

  /** What has to be sent before a statement of a session. */
  prepareFor(values: SessionValues, text: WorkText): ContextChange {
    return this.contextHeld.prepareFor(values, text);
  }

  /** Whether the member still answers on it; what it has is forgotten. */
  async answers(timeoutMilliseconds: number): Promise<boolean> {
    const reset = [{kind: 'reset'}] as const;
    const answered = await this.member.run(reset, timeoutMilliseconds);
    this.contextHeld = ConnectionContext.EMPTY;
    return answered.isRight();
  }

  /** Notes what the connection has now. */
  became(context: ConnectionContext): void {
    this.contextHeld = context;
  }
}
