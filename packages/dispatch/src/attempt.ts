import {StatementAnswer} from '@apricotlock/statement';
import {WorkHolder} from './work_holder.js';

/** What became of a statement. */
export type RouteOutcome =
  | {
      readonly kind: 'answered';
      readonly answer: StatementAnswer;
      /** Kept for the rest of the transaction, if one is open. */
      readonly holder: WorkHolder;
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

/** What one attempt on a member, or on several, came to. */
export type Attempt = RouteOutcome | Next;

/** An attempt that came to nothing; another one may be made. */
export interface Next {
  readonly kind: 'next';
  readonly reason: string;
  /** Whether a member may have run it; only a read is then tried again. */
  readonly mayHaveRun: boolean;
  /** How long a member with a full queue expects work to wait there. */
  readonly expectedWaitMilliseconds: number | undefined;
}

/** An attempt that came to nothing, and why. */
export function next(
  reason: string,
  mayHaveRun = false,
  expectedWaitMilliseconds?: number,
): Next {
  return {kind: 'next', reason, mayHaveRun, expectedWaitMilliseconds};
}

/** The attempt of the later one, with the shorter of both waits. */
export function leastBusy(earlier: Next, later: Next): Next {
  const waits = [earlier, later].flatMap(
    ({expectedWaitMilliseconds: wait}) => wait ?? [],
  );
  const expectedWaitMilliseconds =
    waits.length === 0 ? undefined : Math.min(...waits);
  return {...later, expectedWaitMilliseconds};
}

/** The last answer to a caller after attempts that led to nothing. */
export function gaveUp(
  {reason, mayHaveRun, expectedWaitMilliseconds}: Next,
  whileMissing: number,
): RouteOutcome {
  if (mayHaveRun) return {kind: 'unknown', timedOut: true, reason};
  const retryAfterMilliseconds = expectedWaitMilliseconds ?? whileMissing;
  return {kind: 'notRun', reason, retryAfterMilliseconds};
}

/** Once an attempt may have run, no later one can undo that. */
export function after(earlier: Next | undefined, attempt: Next): Next {
  const mayHaveRun = attempt.mayHaveRun || earlier?.mayHaveRun === true;
  return {...attempt, mayHaveRun};
}
