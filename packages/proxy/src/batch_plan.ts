import {Statement} from '@apricotlock/sql';
import {SqlState, TransactionStatus} from '@apricotlock/wire';
import {applySet, isLocal, LocalStatement} from './local_statement.js';
import {Failure} from './failure.js';
import {BatchError, RequestBatch} from './request_batch.js';
import {SessionSettings} from './session_settings.js';

/** How a batch is to be handled. */
export type BatchPlan =
  | {readonly kind: 'refuse'; readonly failure: Failure}
  /** The proxy carries it out without a member. */
  | {readonly kind: 'local'; readonly statement: LocalStatement}
  /** Ends a failed transaction that no member holds any more. */
  | {readonly kind: 'endFailedTransaction'}
  | {readonly kind: 'run'; readonly purpose: 'read' | 'write'};

/** State of a session before a batch. */
export interface SessionState {
  readonly status: TransactionStatus;
  /** Whether a lease or a keyed request still holds the transaction. */
  readonly holdsLease: boolean;
}

/** Decides how a batch is handled. */
export function planBatch(
  batch: RequestBatch,
  settings: SessionSettings,
  state: SessionState,
): BatchPlan {
  const {statements} = batch;
  const unsupported = statements.find(isUnsupported);
  if (unsupported !== undefined) {
    return refuseBatch(`the proxy does not support ${unsupported.feature}`);
  }
  const [only] = statements;
  if (only !== undefined && isLocal(only, settings)) {
    if (statements.length === 1) return {kind: 'local', statement: only};
  }
  if (statements.some(concernsSessionSettings)) {
    const refusal = checkSettingsBatch(batch, settings, state);
    if (refusal !== undefined) return refusal;
  }
  // The member has already rolled back a transaction whose lease has ended.
  if (state.status === 'failed' && !state.holdsLease) {
    return planInFailedTransaction(only);
  }
  return {kind: 'run', purpose: isRead(batch) ? 'read' : 'write'};
}

/** Returns the failure to report for a batch that could not be read. */
export function failureFromBatchError(error: BatchError): Failure {
  switch (error.kind) {
    case 'unknownStatement':
      return {
        kind: 'notPossible',
        code: SqlState.INVALID_STATEMENT_NAME,
        reason: `prepared statement "${error.detail}" does not exist`,
      };
    case 'unsupportedMessage':
      return {
        kind: 'notPossible',
        code: SqlState.FEATURE_NOT_SUPPORTED,
        reason: `the proxy does not support message type "${error.detail}"`,
      };
    case 'malformed':
      return {
        kind: 'notPossible',
        code: SqlState.PROTOCOL_VIOLATION,
        reason: `malformed message of type "${error.detail}"`,
      };
  }
}

/**
 * Returns a refusal unless the batch consists only of supported SET statements
 * for database settings and runs outside a transaction.
 */
function checkSettingsBatch(
  {statements}: RequestBatch,
  settings: SessionSettings,
  {status}: SessionState,
): BatchPlan | undefined {
  if (status !== 'idle') {
    return refuseBatch(
      'session-level SET is not supported inside a transaction',
    );
  }
  let updated = settings;
  for (const statement of statements) {
    if (statement.kind !== 'setSession') {
      return refuseBatch(
        'SET cannot be combined with other statements in one batch',
      );
    }
    const applied = applySet(statement, updated);
    if (applied.isLeft()) {
      return {kind: 'refuse', failure: applied.extract() as Failure};
    }
    updated = applied.unsafeCoerce();
  }
  return undefined;
}

function planInFailedTransaction(statement: Statement | undefined): BatchPlan {
  const endsTransaction =
    statement?.kind === 'rollback' || statement?.kind === 'commit';
  if (endsTransaction) return {kind: 'endFailedTransaction'};
  const reason =
    'the current transaction is aborted; end it before other statements';
  const code = SqlState.IN_FAILED_TRANSACTION;
  return {kind: 'refuse', failure: {kind: 'notPossible', code, reason}};
}

function isRead(batch: RequestBatch): boolean {
  if (!batch.executes) return true;
  if (batch.unparsed) return false;
  const [first] = batch.statements;
  if (first?.kind === 'begin') return first.options.readOnly;
  return batch.statements.every(
    ({kind}) => kind === 'read' || kind === 'setSession',
  );
}

function isUnsupported(
  statement: Statement,
): statement is Extract<Statement, {kind: 'unsupported'}> {
  return statement.kind === 'unsupported';
}

function concernsSessionSettings({kind}: Statement): boolean {
  return (
    kind === 'setProxySetting' ||
    kind === 'showProxySetting' ||
    kind === 'setSession' ||
    kind === 'resetSession' ||
    kind === 'discardAll'
  );
}

function refuseBatch(reason: string): BatchPlan {
  const code = SqlState.FEATURE_NOT_SUPPORTED;
  return {kind: 'refuse', failure: {kind: 'notPossible', code, reason}};
}
