import {
  CallerAnswer,
  CallerConnection,
  CallerFailure,
} from '@apricotlock/statement';
import {isStarted, SessionTransaction} from './session_transaction.js';

/** The failure of a request that a VM that stops does not begin. */
export const NOT_BEGUN_AT_STOP: CallerFailure = {
  kind: 'notRun',
  reason: 'this VM begins no more requests',
  retryAfterMilliseconds: 0,
};

const ROLLED_BACK_AT_STOP: CallerFailure = {
  kind: 'rolledBack',
  reason: 'the transaction was still open when this VM stopped',
};

/** The failure of a request that is in progress when a VM ends. */
export const ABANDONED_AT_STOP: CallerFailure = {
  kind: 'unknown',
  reason: 'this VM stopped before the member had answered',
};

/**
 * The times that the sessions of a VM that stops have, on the timer's clock.
 */
export interface DrainLimits {
  /** Until then, callers may begin any statement of an open transaction. */
  readonly transactionsUntil: number;
  /** What is in progress then is answered as of unknown outcome. */
  readonly endsAt: number;
  /** Callers have until then to receive their last answers. */
  readonly lingersUntil: number;
}

/** Whether a session is to end, and what it may still begin until then. */
export class SessionDrain {
  private begun = false;
  private limits: DrainLimits | undefined;

  private constructor() {}

  /** Creates the state of a session that is not to end. */
  static create(): SessionDrain {
    return new SessionDrain();
  }

  /** Whether the session is to end as soon as it is idle. */
  get draining(): boolean {
    return this.begun;
  }

  /**
   * Lets the session end; without limits, it may take any time unless it was
   * given limits before.
   */
  begin(limits: DrainLimits | undefined): void {
    this.begun = true;
    this.limits = limits ?? this.limits;
  }

  /**
   * Whether a statement may begin now. Its time limit, in milliseconds, must
   * end before the process does, unless its caller was promised the time.
   */
  permits(now: number, statementMilliseconds: number): boolean {
    if (this.limits === undefined) return true;
    const {transactionsUntil, endsAt} = this.limits;
    return now < Math.max(transactionsUntil, endsAt - statementMilliseconds);
  }
}

/** Returns the failure of a request that may not begin. */
export function failureAtStop(transaction: SessionTransaction): CallerFailure {
  return isStarted(transaction) ? ROLLED_BACK_AT_STOP : NOT_BEGUN_AT_STOP;
}

/** Gives all requests that were read and not received the same answer. */
export async function answerPending(
  link: CallerConnection,
  answer: CallerAnswer,
): Promise<void> {
  while (link.hasPendingRequest) {
    if ((await link.receive()) === undefined) return;
    link.answer(answer);
  }
}
