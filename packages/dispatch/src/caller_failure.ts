import {CallerFailure} from '@apricotlock/statement';
import {RouteOutcome} from './attempt.js';
import {WorkResult} from './work_holder.js';

/** What a statement that no member answered means to the caller. */
export function failureOf(
  outcome: Exclude<RouteOutcome, {kind: 'answered'}>,
): CallerFailure {
  if (outcome.kind === 'notRun') return outcome;
  const {timedOut, reason} = outcome;
  return {kind: timedOut ? 'timeout' : 'unknown', reason};
}

/** What the loss of an open transaction means to the caller. */
export function lossOf(
  result: Exclude<WorkResult, {kind: 'answered'}>,
  committing: boolean,
): CallerFailure {
  const reason = result.kind === 'lost' ? result.reason : result.refusal.reason;
  const mayHaveRun = result.kind === 'lost' && result.mayHaveRun;
  // Without its COMMIT at the member, the transaction can only be rolled back.
  if (!committing || !mayHaveRun) return {kind: 'rolledBack', reason};
  return {kind: result.timedOut ? 'timeout' : 'unknown', reason};
}
