import {LeaseRefusal} from '@apricotlock/backend';
import {DatabaseErrorFields, SqlState} from '@apricotlock/wire';

/** Reason why a batch has no complete answer from a member. */
export type Failure =
  /** Nothing was run; the request may succeed if it is sent again later. */
  | {
      readonly kind: 'notRun';
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
    }
  /** Nothing was run, and the same request would be refused again. */
  | {
      readonly kind: 'notPossible';
      readonly code: string;
      readonly reason: string;
    }
  /** The request may or may not have been run. */
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      /** Whether the request has an idempotency key. */
      readonly keyed?: boolean;
    }
  /** A read failed after the caller had received part of its answer. */
  | {readonly kind: 'cutShort'; readonly reason: string}
  /** Cancelled by the caller; nothing was run, or it was rolled back. */
  | {readonly kind: 'cancelled'}
  /** The transaction was rolled back before it could be committed. */
  | {readonly kind: 'rolledBack'; readonly reason: string};

const KEYED_HINT =
  'Send the request again with the same apricotlock.idempotency_key: it will ' +
  'not run twice, and a stored answer is returned if there is one.';
const UNKEYED_HINT =
  'Check whether the request took effect before sending it again.';

/** Returns the fields of the PostgreSQL error that reports a failure. */
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
        message: `the outcome of the request is unknown: ${failure.reason}`,
        hint: failure.keyed === true ? KEYED_HINT : UNKEYED_HINT,
      };
    case 'cutShort':
      return {
        severity: 'ERROR',
        code: SqlState.CONNECTION_FAILURE,
        message: `the answer is incomplete: ${failure.reason}`,
        hint: 'The statement changed no data and can be sent again.',
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

/** Returns the failure to report when a member's owner refuses a lease. */
export function failureFromRefusal(refusal: LeaseRefusal): Failure {
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
  notOwner: 'ownership of the member is being handed over',
  behind: 'no replica is up to date enough',
  wrongTerm: 'a new primary is being promoted',
  draining: 'the backend server is draining',
  overloaded: 'too many requests are waiting',
  unreachable: 'the backend server cannot be reached',
  unknownEntry: 'the owner of the member does not have this catalogue entry',
};
