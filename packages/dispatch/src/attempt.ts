import {StatementAnswer} from '@apricotlock/statement';
import {RetrySpread} from './early_refusal.js';
import {RetryCause} from './retry_budget.js';
import {WorkHandle} from './work_handle.js';

/** With less time than this left, no further attempt is made. */
export const MINIMUM_ATTEMPT_MILLISECONDS = 10;

/** Result of routing a statement to a member. */
export type RouteOutcome =
  | {
      readonly kind: 'answered';
      readonly answer: StatementAnswer;
      /** Runs the rest of the transaction, if one is open. */
      readonly handle: WorkHandle;
      readonly member: string;
    }
  | {
      readonly kind: 'notRun';
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
    }
  | {
      readonly kind: 'unknown';
      readonly timedOut: boolean;
      readonly reason: string;
    };

/** Result of one attempt on one or several members. */
export type Attempt = RouteOutcome | RetryableFailure;

/** A failed attempt after which another one may be made. */
export interface RetryableFailure {
  readonly kind: 'retryable';
  readonly reason: string;
  /**
   * Whether a member may have run the statement. In that case only a read is
   * retried.
   */
  readonly mayHaveRun: boolean;
  /**
   * Why another attempt counts as a retry; `undefined` if this one was no work
   * for a member, or only corrected the choice of the member.
   */
  readonly retryCause?: RetryCause | undefined;
  /** Whether the member was behind the floor of the read. */
  readonly behind?: boolean;
  /** Whether every member that may run the statement announced a wait. */
  readonly allAnnounced?: boolean;
  /** Wait that a member with a full queue announced, in milliseconds. */
  readonly expectedWaitMilliseconds: number | undefined;
}

/** Creates the failure of an attempt that may be retried. */
export function retryable(
  reason: string,
  mayHaveRun = false,
  expectedWaitMilliseconds?: number,
): RetryableFailure {
  return {kind: 'retryable', reason, mayHaveRun, expectedWaitMilliseconds};
}

/** Returns the later failure with the shorter expected wait of the two. */
export function withShortestWait(
  earlier: RetryableFailure,
  later: RetryableFailure,
): RetryableFailure {
  const expectedWaits = [earlier, later].flatMap(
    ({expectedWaitMilliseconds: wait}) => wait ?? [],
  );
  const expectedWaitMilliseconds =
    expectedWaits.length === 0 ? undefined : Math.min(...expectedWaits);
  return {...later, expectedWaitMilliseconds};
}

/**
 * Returns the outcome of a statement whose retries are exhausted. Without an
 * expected wait at a member, the caller is advised to retry after
 * `outageRetryAfterMilliseconds`; otherwise after that wait, spread over
 * callers.
 */
export function toFinalOutcome(
  {reason, mayHaveRun, expectedWaitMilliseconds}: RetryableFailure,
  outageRetryAfterMilliseconds: number,
  spread: RetrySpread,
): RouteOutcome {
  if (mayHaveRun) return {kind: 'unknown', timedOut: true, reason};
  const retryAfterMilliseconds =
    expectedWaitMilliseconds === undefined
      ? outageRetryAfterMilliseconds
      : spread.next(expectedWaitMilliseconds);
  return {kind: 'notRun', reason, retryAfterMilliseconds};
}

/**
 * Returns `attempt`, marked as possibly run if `earlier` is: a statement that
 * may have run in one attempt stays so whatever later attempts report.
 */
export function carryMayHaveRun(
  earlier: RetryableFailure | undefined,
  attempt: RetryableFailure,
): RetryableFailure {
  const mayHaveRun = attempt.mayHaveRun || earlier?.mayHaveRun === true;
  return {...attempt, mayHaveRun};
}
