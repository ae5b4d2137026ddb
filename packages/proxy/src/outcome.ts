import {LeaseRefusal} from '@apricotlock/backend';
import {DatabaseErrorFields, SqlState} from '@apricotlock/wire';

/** Why a batch has no answer from a member that can be passed on. */
export type Failure =
  /** Nothing was run; another try may work after a while. */
  | {
      readonly kind: 'notRun';
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
    }
  /** Nothing was run, and the same request can never be. */
  | {
      readonly kind: 'notPossible';
      readonly code: string;
      readonly reason: string;
    }
  /** It may or may not have been run. */
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      /** Whether the request has an idempotency key. */
      readonly keyed?: boolean;
    }
  /** A read whose answer the caller has got in part; it changed nothing. */
  | {readonly kind: 'cutShort'; readonly reason: string}
  /** The caller asked for it; nothing was run, or it was rolled back. */
  | {readonly kind: 'cancelled'}
  /** The transaction had not been committed, and is rolled back. */
  | {readonly kind: 'rolledBack'; readonly reason: string};

const KEYED_HINT =
  'Send it again under the same apricotlock.idempotency_key: it is not run ' +
  'twice, and its first answer is given.';
const UNKEYED_HINT =
  'Look for what it would have left behind before it is sent again.';

/** The failure in the words of PostgreSQL. */
export function failureFields(failure: Failure): DatabaseErrorFields {
  switch (failure.kind) {
    case 'notRun':
      return {
        severity: 'ERROR',
        code: SqlState.CANNOT_CONNECT_NOW,
        message: `not run: ${failure.reason}`,
        hint: `Try again in ${failure.retryAfterMilliseconds} ms.`,
      };
    case 'notPossible':
      return {
        severity: 'ERROR',
        code: failure.code,
        message: `not run: ${failure.reason}`,
      };
    case 'unknown':
      return {
        severity: 'ERROR',
        code: SqlState.TRANSACTION_RESOLUTION_UNKNOWN,
        message: `the outcome is unknown: ${failure.reason}`,
        hint: failure.keyed === true ? KEYED_HINT : UNKEYED_HINT,
      };
    case 'cutShort':
      return {
        severity: 'ERROR',
        code: SqlState.CONNECTION_FAILURE,
        message: `the answer was cut short: ${failure.reason}`,
        hint: 'The statement changed nothing; send it again.',
      };
    case 'cancelled':
      return {
        severity: 'ERROR',
        code: SqlState.QUERY_CANCELED,
        message: 'not run: cancelled by the caller',
      };
    case 'rolledBack':
      return {
        severity: 'ERROR',
        code: SqlState.TRANSACTION_ROLLBACK,
        message: `the transaction was rolled back: ${failure.reason}`,
      };
  }
}

/** What a refusal of a member's owner means to the caller. */
export function refusalFailure(refusal: LeaseRefusal): Failure {
  if (refusal.kind === 'cancelled') return {kind: 'cancelled'};
  const retryAfterMilliseconds =
    refusal.kind === 'overloaded' ? refusal.retryAfterMilliseconds : 100;
  return {
    kind: 'notRun',
    reason: REFUSAL_REASONS[refusal.kind],
    retryAfterMilliseconds,
  };
}

const REFUSAL_REASONS: Readonly<
  Record<Exclude<LeaseRefusal['kind'], 'cancelled'>, string>
> = {
  notOwner: 'the member is being handed over',
  behind: 'no replica is fresh enough',
  wrongTerm: 'a primary is being appointed',
  draining: 'the backend server is leaving',
  overloaded: 'too many requests are waiting',
  unreachable: 'the backend server cannot be reached',
  unknownEntry: 'the catalogue entry is not in force here yet',
};
