import {DatabaseErrorFields, SqlState} from '@apricotlock/wire';
import {Failure, failureFields} from './failure.js';

/** The error that ends a session which has no request in progress. */
export const SHUTTING_DOWN: DatabaseErrorFields = {
  severity: 'FATAL',
  code: SqlState.ADMIN_SHUTDOWN,
  message: 'this proxy is shutting down; connect again',
};

const REASON = 'this proxy stopped before the answer was complete';

/** A batch that has no answer yet, as far as its possible outcomes depend on it. */
export interface BatchInProgress {
  readonly purpose: 'read' | 'write';
  /** Whether it belongs to a transaction that earlier batches have opened. */
  readonly inTransaction: boolean;
  readonly mayCommit: boolean;
  readonly keyed: boolean;
}

/** Returns how a batch is reported whose answer this process cannot await. */
export function failureOfAbandoned(batch: BatchInProgress): Failure {
  const {purpose, inTransaction, mayCommit, keyed} = batch;
  if (inTransaction && !mayCommit) return {kind: 'rolledBack', reason: REASON};
  if (!inTransaction && purpose === 'read') {
    return {kind: 'cutShort', reason: REASON};
  }
  return {kind: 'unknown', reason: REASON, keyed};
}

/** Returns the error that ends the session of an abandoned batch. */
export function fatalFields(failure: Failure): DatabaseErrorFields {
  return {...failureFields(failure), severity: 'FATAL'};
}
