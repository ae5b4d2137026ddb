import {CallerAnswer, CallerFailure} from '@apricotlock/statement';
import {RouteOutcome} from './attempt.js';
import {WorkResult} from './work_handle.js';

/** Returns the failure that a caller receives if no member answered. */
export function toCallerFailure(
  outcome: Exclude<RouteOutcome, {kind: 'answered'}>,
): CallerFailure {
  if (outcome.kind === 'notRun') return outcome;
  const {timedOut, reason} = outcome;
  return {kind: timedOut ? 'timeout' : 'unknown', reason};
}

/** Returns the failure that a caller receives if its open transaction is lost. */
export function toTransactionFailure(
  result: Exclude<WorkResult, {kind: 'answered'}>,
  committing: boolean,
): CallerFailure {
  const reason = result.kind === 'lost' ? result.reason : result.refusal.reason;
  const mayHaveRun = result.kind === 'lost' && result.mayHaveRun;
  // Unless the member may have run its COMMIT, the transaction is rolled back.
  if (!committing || !mayHaveRun) return {kind: 'rolledBack', reason};
  return {kind: result.timedOut ? 'timeout' : 'unknown', reason};
}

/** Returns whether an answer says that the caller's key is not valid. */
export function isUnauthenticated(answer: CallerAnswer): boolean {
  return answer.kind === 'failure' && answer.failure.kind === 'unauthenticated';
}
