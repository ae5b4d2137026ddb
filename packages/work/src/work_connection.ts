import {MemberConnection, SessionValues} from '@apricotlock/statement';
import {lastAnswer} from './caller_command.js';
import {PooledConnection} from './connection_choice.js';
import {ConnectionContext, ContextTransition} from './connection_context.js';
import {WorkText} from './work_messages.js';

/** A connection to a member, with the context that sessions created on it. */
export class WorkConnection implements PooledConnection {
  private context = ConnectionContext.EMPTY;
  private tainted = false;
  /** The time of the last checkout, in milliseconds of the timer's clock. */
  checkedOutAt = -Infinity;
  /** Whether the work that has checked out the connection is a transaction. */
  isInTransaction = false;

  private constructor(
    readonly member: MemberConnection,
    /** The only organisation that may use it; `undefined` for none. */
    readonly organisation: string | undefined,
    /** The opening time, in milliseconds of the timer's clock. */
    readonly openedAt: number,
    public lastUsedAt: number,
  ) {}

  /** Wraps a newly opened connection. */
  static create(
    member: MemberConnection,
    organisation: string | undefined,
    now: number,
  ): WorkConnection {
    return new WorkConnection(member, organisation, now, now);
  }

  /** Returns whether a session with these values can do without a reset. */
  isReusableFor(values: SessionValues): boolean {
    return this.context.isReusableFor(values);
  }

  /** Whether the context of the connection is unknown. */
  get isTainted(): boolean {
    return this.tainted;
  }

  /**
   * Marks the context as unknown. The connection must not be reused, because
   * another session could find wrong values on it.
   */
  taint(): void {
    this.tainted = true;
  }

  /**
   * Returns the commands that have to precede a statement of a session, and the
   * context that results from them.
   */
  prepareFor(values: SessionValues, text: WorkText): ContextTransition {
    return this.context.prepareFor(values, text);
  }

  /**
   * Resets the connection to an empty context. Resolves to whether the member
   * has confirmed it.
   */
  async checkAlive(timeoutMilliseconds: number): Promise<boolean> {
    const reset = [{kind: 'reset'}] as const;
    const answers = await this.member.run(reset, timeoutMilliseconds);
    this.context = ConnectionContext.EMPTY;
    return answers
      .map(lastAnswer)
      .map(({end, state}) => end.kind === 'complete' && state === 'idle')
      .orDefault(false);
  }

  /** Records the current context of the connection. */
  setContext(context: ConnectionContext): void {
    this.context = context;
  }
}
