import {Statement} from '@apricotlock/sql';
import {SqlState, TransactionStatus} from '@apricotlock/wire';
import {applySet, isLocal, LocalStatement} from './local_statement.js';
import {Failure} from './outcome.js';
import {BatchError, RequestBatch} from './request_batch.js';
import {SessionSettings} from './session_settings.js';

/** What is to be done with a batch. */
export type BatchPlan =
  | {readonly kind: 'refuse'; readonly failure: Failure}
  /** No member needs to see it. */
  | {readonly kind: 'local'; readonly statement: LocalStatement}
  /** Ends a transaction that failed with its connection. */
  | {readonly kind: 'endFailed'}
  | {readonly kind: 'run'; readonly purpose: 'read' | 'write'};

/** How a session stands before a batch. */
export interface SessionStanding {
  readonly status: TransactionStatus;
  /** Whether a member still has the session's transaction. */
  readonly holdsLease: boolean;
}

/** Decides what is to be done with a batch. */
export function planBatch(
  batch: RequestBatch,
  settings: SessionSettings,
  standing: SessionStanding,
): BatchPlan {
  const {statements} = batch;
  const unsupported = statements.find(isUnsupported);
  if (unsupported !== undefined) {
    return refuse(`the proxy does not offer ${unsupported.what}`);
  }
  const [only] = statements;
  if (only !== undefined && isLocal(only, settings)) {
    if (statements.length === 1) return {kind: 'local', statement: only};
  }
  if (statements.some(isAboutSession)) {
    const refused = refusalOfSettings(batch, settings, standing);
    if (refused !== undefined) return refused;
  }
  // After a lost connection the member's transaction is gone already.
  if (standing.status === 'failed' && !standing.holdsLease) {
    return planInFailed(only);
  }
  return {kind: 'run', purpose: isRead(batch) ? 'read' : 'write'};
}

/** What a batch that could not be read means to the caller. */
export function batchFailure(error: BatchError): Failure {
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
        reason: `the proxy does not offer message "${error.detail}"`,
      };
    case 'malformed':
      return {
        kind: 'notPossible',
        code: SqlState.PROTOCOL_VIOLATION,
        reason: `malformed message "${error.detail}"`,
      };
  }
}

/** Only SET of the database may share a batch, with others of its kind. */
function refusalOfSettings(
  {statements}: RequestBatch,
  settings: SessionSettings,
  {status}: SessionStanding,
): BatchPlan | undefined {
  if (status !== 'idle') {
    return refuse('SET for a whole session inside a transaction');
  }
  let after = settings;
  for (const statement of statements) {
    if (statement.kind !== 'setSession') {
      return refuse('SET and other statements in one batch');
    }
    const applied = applySet(statement, after);
    if (applied.isLeft()) {
      return {kind: 'refuse', failure: applied.extract() as Failure};
    }
    after = applied.unsafeCoerce();
  }
  return undefined;
}

function planInFailed(statement: Statement | undefined): BatchPlan {
  const ends = statement?.kind === 'rollback' || statement?.kind === 'commit';
  if (ends) return {kind: 'endFailed'};
  const reason = 'the transaction is aborted; end it first';
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

function isAboutSession({kind}: Statement): boolean {
  return (
    kind === 'setProxySetting' ||
    kind === 'showProxySetting' ||
    kind === 'setSession' ||
    kind === 'resetSession' ||
    kind === 'discardAll'
  );
}

function refuse(reason: string): BatchPlan {
  const code = SqlState.FEATURE_NOT_SUPPORTED;
  return {kind: 'refuse', failure: {kind: 'notPossible', code, reason}};
}
