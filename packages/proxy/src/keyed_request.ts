import {SqlState, TransactionStatus} from '@apricotlock/wire';
import {splitAnswers, commandTagOf, hasAnyError, withStatus} from './answer.js';
import {claimKey, KeyedContext} from './idempotency_claim.js';
import {IdempotencyRecord} from './idempotency_record.js';
import {
  BEGIN_QUERY,
  COMMIT_QUERY,
  storeRecordQuery,
} from './idempotency_table.js';
import {ConnectionLease, RunResult} from './connection_lease.js';
import {buildLocalAnswer} from './local_answer.js';
import {Failure} from './failure.js';
import {RequestBatch} from './request_batch.js';

type Finished = Extract<RunResult, {kind: 'finished'}>;

/** Result of a batch that belongs to a request with an idempotency key. */
export type KeyedOutcome =
  | {
      readonly kind: 'answered';
      /** The answer for the caller, either new or stored. */
      readonly answer: Buffer;
      readonly status: TransactionStatus;
      /** Result of the last run on a member, if there was one. */
      readonly lastResult: Finished | undefined;
      /** The request, if its transaction is still open. */
      readonly openRequest: KeyedRequest | undefined;
      /** Whether the work under the key is committed, now or earlier. */
      readonly keyCompleted: boolean;
    }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      readonly status: 'idle' | 'failed';
    };

/** An open transaction under an idempotency key. */
export abstract class KeyedRequest {
  /** Runs the next batch of the transaction. */
  abstract runNext(batch: RequestBatch): Promise<KeyedOutcome>;

  /** Releases the connection lease; an open transaction is rolled back. */
  abstract release(): void;
}

/**
 * Starts a request under a key: a statement that autocommits, or a transaction.
 * If the request has already been committed, returns the stored answers.
 */
export async function beginKeyed(
  context: KeyedContext,
  key: string,
  batch: RequestBatch,
): Promise<KeyedOutcome> {
  const form = formOf(batch);
  if (form === 'unsupported') return unsupportedForm();
  const opening = form === 'transaction' ? batch.bytes : BEGIN_QUERY;
  const qualifiedKey = `${context.entry.name}/${key}`;
  const claim = await claimKey(context, qualifiedKey, opening);
  if (claim.kind === 'failed') return failedOutcome(claim.failure, 'idle');
  if (claim.kind === 'known') {
    const answer = claim.record.answerAt(0, batch);
    if (answer === undefined) return keyReused('idle');
    const {record, lastResult} = claim;
    if (form === 'statement') return replayedOutcome(answer, lastResult);
    const openRequest = ReplayedTransaction.of(record, 1);
    return {
      kind: 'answered',
      answer,
      status: 'transaction',
      lastResult,
      openRequest,
      keyCompleted: false,
    };
  }
  const {lease, openingAnswer: beginAnswer} = claim;
  if (form === 'statement') return runStatement(lease, qualifiedKey, batch);
  const record = IdempotencyRecord.EMPTY.withStep(batch, beginAnswer);
  return {
    kind: 'answered',
    answer: beginAnswer,
    status: 'transaction',
    lastResult: undefined,
    openRequest: NewTransaction.of(lease, qualifiedKey, record),
    keyCompleted: false,
  };
}

/** Runs one statement and commits it together with its record. */
async function runStatement(
  lease: ConnectionLease,
  key: string,
  batch: RequestBatch,
): Promise<KeyedOutcome> {
  const runResult = await runAndCollect(lease, batch.bytes, 1);
  if (runResult.kind !== 'finished') return rolledBack(lease, 'idle');
  if (hasAnyError(runResult.answer)) {
    lease.release();
    const answer = withStatus(runResult.answer, 'idle');
    return {
      kind: 'answered',
      answer,
      status: 'idle',
      lastResult: undefined,
      openRequest: undefined,
      keyCompleted: false,
    };
  }
  const record = IdempotencyRecord.EMPTY.withStep(batch, runResult.answer);
  const text = record.toText();
  if (text.isLeft()) return recordTooLarge(lease);
  const storeRecord = storeRecordQuery(key, text.unsafeCoerce());
  const bytes = Buffer.concat([storeRecord, COMMIT_QUERY]);
  const reply = await runAndCollect(lease, bytes, 2);
  lease.release();
  if (reply.kind !== 'finished') return unknownCommitOutcome();
  if (commandTagOf(reply.answer) !== 'COMMIT') return rolledBack(lease, 'idle');
  return {
    kind: 'answered',
    answer: withStatus(runResult.answer, 'idle'),
    status: 'idle',
    lastResult: reply,
    openRequest: undefined,
    keyCompleted: true,
  };
}

/** A transaction that is run for the first time under its key. */
class NewTransaction extends KeyedRequest {
  private transactionFailed = false;

  private constructor(
    private readonly lease: ConnectionLease,
    private readonly key: string,
    private record: IdempotencyRecord,
  ) {
    super();
  }

  static of(
    lease: ConnectionLease,
    key: string,
    record: IdempotencyRecord,
  ): NewTransaction {
    return new NewTransaction(lease, key, record);
  }

  override async runNext(batch: RequestBatch): Promise<KeyedOutcome> {
    const [only, ...others] = batch.statements;
    const isCommit = others.length === 0 && only?.kind === 'commit';
    if (isCommit && !this.transactionFailed) return this.commit(batch);
    if (!isCommit && mayCommitWithoutRecord(batch)) {
      this.release();
      return unsupportedForm('failed');
    }
    const runResult = await runAndCollect(this.lease, batch.bytes, 1);
    if (runResult.kind !== 'finished') return rolledBack(this.lease, 'failed');
    this.transactionFailed = runResult.status === 'failed';
    this.record = this.record.withStep(batch, runResult.answer);
    const openRequest = runResult.status === 'idle' ? undefined : this;
    if (openRequest === undefined) this.release();
    const {answer, status} = runResult;
    return {
      kind: 'answered',
      answer,
      status,
      lastResult: runResult,
      openRequest,
      keyCompleted: false,
    };
  }

  override release(): void {
    this.lease.release();
  }

  private async commit(batch: RequestBatch): Promise<KeyedOutcome> {
    const text = this.record.toText();
    if (text.isLeft()) return recordTooLarge(this.lease);
    const storeRecord = storeRecordQuery(this.key, text.unsafeCoerce());
    const bytes = Buffer.concat([storeRecord, batch.bytes]);
    const reply = await runAndCollect(this.lease, bytes, 2);
    this.release();
    if (reply.kind !== 'finished') return unknownCommitOutcome();
    const [, answer] = splitAnswers(reply.answer);
    if (answer === undefined) return unknownCommitOutcome();
    const keyCompleted = commandTagOf(answer) === 'COMMIT';
    return {
      kind: 'answered',
      answer,
      status: 'idle',
      lastResult: reply,
      openRequest: undefined,
      keyCompleted,
    };
  }
}

/** A transaction that is already committed; returns its stored answers. */
class ReplayedTransaction extends KeyedRequest {
  private constructor(
    private readonly record: IdempotencyRecord,
    private readonly stepIndex: number,
  ) {
    super();
  }

  static of(record: IdempotencyRecord, stepIndex: number): ReplayedTransaction {
    return new ReplayedTransaction(record, stepIndex);
  }

  override async runNext(batch: RequestBatch): Promise<KeyedOutcome> {
    const [only, ...others] = batch.statements;
    const onlyKind = others.length === 0 ? only?.kind : undefined;
    if (onlyKind === 'rollback') return this.end(batch, 'ROLLBACK', false);
    if (onlyKind === 'commit') {
      const isComplete = this.stepIndex === this.record.steps.length;
      return isComplete ? this.end(batch, 'COMMIT', true) : keyReused('idle');
    }
    const answer = this.record.answerAt(this.stepIndex, batch);
    if (answer === undefined) return keyReused('failed');
    const openRequest = ReplayedTransaction.of(this.record, this.stepIndex + 1);
    return {
      kind: 'answered',
      answer,
      status: 'transaction',
      lastResult: undefined,
      openRequest,
      keyCompleted: false,
    };
  }

  override release(): void {
    return;
  }

  private end(
    batch: RequestBatch,
    tag: string,
    keyCompleted: boolean,
  ): KeyedOutcome {
    const answer = buildLocalAnswer(batch.frames, {tag}, 'idle');
    return {
      kind: 'answered',
      answer,
      status: 'idle',
      lastResult: undefined,
      openRequest: undefined,
      keyCompleted,
    };
  }
}

type RequestForm = 'statement' | 'transaction' | 'unsupported';

/** Returns which form of keyed request a batch starts. */
function formOf(batch: RequestBatch): RequestForm {
  const [first, ...others] = batch.statements;
  if (batch.unparsed) return 'unsupported';
  if (first?.kind === 'begin') {
    return others.length === 0 ? 'transaction' : 'unsupported';
  }
  const isSupported = batch.statements.every(
    ({kind}) => kind === 'write' || kind === 'read',
  );
  return isSupported ? 'statement' : 'unsupported';
}

/** Returns whether a batch could commit the transaction without its record. */
function mayCommitWithoutRecord(batch: RequestBatch): boolean {
  if (batch.unparsed) return true;
  const commits = batch.statements.some(({kind}) => kind === 'commit');
  return commits && batch.statements.length > 1;
}

/** Runs statements and collects the answer; nothing is sent to the caller. */
async function runAndCollect(
  lease: ConnectionLease,
  bytes: Buffer,
  answers: number,
): Promise<Finished | {readonly kind: 'lost'}> {
  const parts: Buffer[] = [];
  const result = await lease.run({bytes, answers, reset: false}, async part => {
    parts.push(part);
  });
  if (result.kind !== 'finished' || !result.confirmed) return {kind: 'lost'};
  return {...result, answer: Buffer.concat([...parts, result.answer])};
}

function replayedOutcome(answer: Buffer, lastResult: Finished): KeyedOutcome {
  return {
    kind: 'answered',
    answer: withStatus(answer, 'idle'),
    status: 'idle',
    lastResult,
    openRequest: undefined,
    keyCompleted: true,
  };
}

function failedOutcome(
  failure: Failure,
  status: 'idle' | 'failed',
): KeyedOutcome {
  return {kind: 'failed', failure, status};
}

function keyReused(status: 'idle' | 'failed'): KeyedOutcome {
  const reason = 'the idempotency key was already used for a different request';
  const code = SqlState.INVALID_PARAMETER;
  return failedOutcome({kind: 'notPossible', code, reason}, status);
}

function unsupportedForm(status: 'idle' | 'failed' = 'idle'): KeyedOutcome {
  const reason =
    'an idempotency key supports only autocommitted statements, or ' +
    'BEGIN, statements and COMMIT in separate batches';
  const code = SqlState.FEATURE_NOT_SUPPORTED;
  return failedOutcome({kind: 'notPossible', code, reason}, status);
}

function recordTooLarge(lease: ConnectionLease): KeyedOutcome {
  lease.release();
  const reason =
    'its answers are too large to be stored under the idempotency key';
  const code = SqlState.PROGRAM_LIMIT_EXCEEDED;
  return failedOutcome({kind: 'notPossible', code, reason}, 'idle');
}

/** Reports a rollback: COMMIT was not sent, or was answered with ROLLBACK. */
function rolledBack(
  lease: ConnectionLease,
  status: 'idle' | 'failed',
): KeyedOutcome {
  lease.release();
  const reason = 'the backend server is unreachable or no longer the primary';
  return failedOutcome({kind: 'rolledBack', reason}, status);
}

function unknownCommitOutcome(): KeyedOutcome {
  const reason = 'no answer to COMMIT was received';
  return failedOutcome({kind: 'unknown', reason, keyed: true}, 'idle');
}
