import {SqlState, TransactionStatus} from '@apricotlock/wire';
import {answersOf, commandTagOf, hasAnyError, withStatus} from './answer.js';
import {claimKey, KeyedContext} from './idempotency_claim.js';
import {IdempotencyRecord} from './idempotency_record.js';
import {BEGIN, COMMIT, completeQuery} from './idempotency_table.js';
import {LeaseHolder, RunResult} from './lease_holder.js';
import {localAnswer} from './local_answer.js';
import {Failure} from './outcome.js';
import {RequestBatch} from './request_batch.js';

type Finished = Extract<RunResult, {kind: 'finished'}>;

/** What became of a batch that belongs to a keyed request. */
export type KeyedOutcome =
  | {
      readonly kind: 'answered';
      /** As the member gave it, now or the first time. */
      readonly answer: Buffer;
      readonly status: TransactionStatus;
      /** How the member stood, where it was asked. */
      readonly seen: Finished | undefined;
      /** The request, if its transaction goes on. */
      readonly open: KeyedRequest | undefined;
      /** Whether the work under the key is done: now, or before. */
      readonly done: boolean;
    }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      readonly status: 'idle' | 'failed';
    };

/** A transaction under an idempotency key, as it goes on. */
export abstract class KeyedRequest {
  /** Serves the next batch of the transaction. */
  abstract goOn(batch: RequestBatch): Promise<KeyedOutcome>;

  /** Gives up what is held; an open transaction is rolled back. */
  abstract release(): void;
}

/**
 * Begins a request under a key: one statement that commits by itself, or a
 * transaction. If it has been done before, its first answer is given.
 */
export async function beginKeyed(
  context: KeyedContext,
  key: string,
  batch: RequestBatch,
): Promise<KeyedOutcome> {
  const form = formOf(batch);
  if (form === 'refused') return refusedForm();
  const opening = form === 'transaction' ? batch.bytes : BEGIN;
  const stored = `${context.entry.name}/${key}`;
  const claim = await claimKey(context, stored, opening);
  if (claim.kind === 'failed') return failed(claim.failure, 'idle');
  if (claim.kind === 'known') {
    const answer = claim.record.answerAt(0, batch);
    if (answer === undefined) return otherRequest('idle');
    const {record, seen} = claim;
    if (form === 'statement') return repeated(answer, seen);
    const open = RepeatedTransaction.of(record, 1);
    return {
      kind: 'answered',
      answer,
      status: 'transaction',
      seen,
      open,
      done: false,
    };
  }
  const {lease, opening: opened} = claim;
  if (form === 'statement') return runStatement(lease, stored, batch);
  const record = IdempotencyRecord.EMPTY.with(batch, opened);
  return {
    kind: 'answered',
    answer: opened,
    status: 'transaction',
    seen: undefined,
    open: NewTransaction.of(lease, stored, record),
    done: false,
  };
}

/** Runs one statement, and commits it together with its record. */
async function runStatement(
  lease: LeaseHolder,
  key: string,
  batch: RequestBatch,
): Promise<KeyedOutcome> {
  const ran = await runWhole(lease, batch.bytes, 1);
  if (ran.kind !== 'finished') return rolledBack(lease, 'idle');
  if (hasAnyError(ran.answer)) {
    lease.release();
    const answer = withStatus(ran.answer, 'idle');
    return {
      kind: 'answered',
      answer,
      status: 'idle',
      seen: undefined,
      open: undefined,
      done: false,
    };
  }
  const record = IdempotencyRecord.EMPTY.with(batch, ran.answer);
  const text = record.toText();
  if (text.isLeft()) return tooLarge(lease);
  const completed = completeQuery(key, text.unsafeCoerce());
  const bytes = Buffer.concat([completed, COMMIT]);
  const ended = await runWhole(lease, bytes, 2);
  lease.release();
  if (ended.kind !== 'finished') return unknown();
  if (commandTagOf(ended.answer) !== 'COMMIT') return rolledBack(lease, 'idle');
  return {
    kind: 'answered',
    answer: withStatus(ran.answer, 'idle'),
    status: 'idle',
    seen: ended,
    open: undefined,
    done: true,
  };
}

/** A transaction that is run for the first time. */
class NewTransaction extends KeyedRequest {
  private failed = false;

  private constructor(
    private readonly lease: LeaseHolder,
    private readonly key: string,
    private record: IdempotencyRecord,
  ) {
    super();
  }

  static of(
    lease: LeaseHolder,
    key: string,
    record: IdempotencyRecord,
  ): NewTransaction {
    return new NewTransaction(lease, key, record);
  }

  override async goOn(batch: RequestBatch): Promise<KeyedOutcome> {
    const [only, ...others] = batch.statements;
    const ends = others.length === 0 && only?.kind === 'commit';
    if (ends && !this.failed) return this.commit(batch);
    if (!ends && isForbiddenInside(batch)) {
      this.release();
      return refusedForm('failed');
    }
    const ran = await runWhole(this.lease, batch.bytes, 1);
    if (ran.kind !== 'finished') return rolledBack(this.lease, 'failed');
    this.failed = ran.status === 'failed';
    this.record = this.record.with(batch, ran.answer);
    const open = ran.status === 'idle' ? undefined : this;
    if (open === undefined) this.release();
    const {answer, status} = ran;
    return {kind: 'answered', answer, status, seen: ran, open, done: false};
  }

  override release(): void {
    this.lease.release();
  }

  private async commit(batch: RequestBatch): Promise<KeyedOutcome> {
    const text = this.record.toText();
    if (text.isLeft()) return tooLarge(this.lease);
    const completed = completeQuery(this.key, text.unsafeCoerce());
    const bytes = Buffer.concat([completed, batch.bytes]);
    const ended = await runWhole(this.lease, bytes, 2);
    this.release();
    if (ended.kind !== 'finished') return unknown();
    const [, answer] = answersOf(ended.answer);
    if (answer === undefined) return unknown();
    const done = commandTagOf(answer) === 'COMMIT';
    return {
      kind: 'answered',
      answer,
      status: 'idle',
      seen: ended,
      open: undefined,
      done,
    };
  }
}

/** A transaction that has been done before: its answers are given again. */
class RepeatedTransaction extends KeyedRequest {
  private constructor(
    private readonly record: IdempotencyRecord,
    private readonly place: number,
  ) {
    super();
  }

  static of(record: IdempotencyRecord, place: number): RepeatedTransaction {
    return new RepeatedTransaction(record, place);
  }

  override async goOn(batch: RequestBatch): Promise<KeyedOutcome> {
    const [only, ...others] = batch.statements;
    const alone = others.length === 0 ? only?.kind : undefined;
    if (alone === 'rollback') return this.end(batch, 'ROLLBACK', false);
    if (alone === 'commit') {
      const whole = this.place === this.record.steps.length;
      return whole ? this.end(batch, 'COMMIT', true) : otherRequest('idle');
    }
    const answer = this.record.answerAt(this.place, batch);
    if (answer === undefined) return otherRequest('failed');
    const open = RepeatedTransaction.of(this.record, this.place + 1);
    return {
      kind: 'answered',
      answer,
      status: 'transaction',
      seen: undefined,
      open,
      done: false,
    };
  }

  override release(): void {
    return;
  }

  private end(batch: RequestBatch, tag: string, done: boolean): KeyedOutcome {
    const answer = localAnswer(batch.frames, {tag}, 'idle');
    return {
      kind: 'answered',
      answer,
      status: 'idle',
      seen: undefined,
      open: undefined,
      done,
    };
  }
}

type Form = 'statement' | 'transaction' | 'refused';

/** What a key may stand for: a statement, or a transaction from its BEGIN. */
function formOf(batch: RequestBatch): Form {
  const [first, ...others] = batch.statements;
  if (batch.unparsed) return 'refused';
  if (first?.kind === 'begin') {
    return others.length === 0 ? 'transaction' : 'refused';
  }
  const plain = batch.statements.every(
    ({kind}) => kind === 'write' || kind === 'read',
  );
  return plain ? 'statement' : 'refused';
}

/** What would end the transaction without its record. */
function isForbiddenInside(batch: RequestBatch): boolean {
  if (batch.unparsed) return true;
  const commits = batch.statements.some(({kind}) => kind === 'commit');
  return commits && batch.statements.length > 1;
}

/** Nothing is told before the end: the whole answer is collected. */
async function runWhole(
  lease: LeaseHolder,
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

function repeated(answer: Buffer, seen: Finished): KeyedOutcome {
  return {
    kind: 'answered',
    answer: withStatus(answer, 'idle'),
    status: 'idle',
    seen,
    open: undefined,
    done: true,
  };
}

function failed(failure: Failure, status: 'idle' | 'failed'): KeyedOutcome {
  return {kind: 'failed', failure, status};
}

function otherRequest(status: 'idle' | 'failed'): KeyedOutcome {
  const reason = 'the idempotency key was used for another request';
  const code = SqlState.INVALID_PARAMETER;
  return failed({kind: 'notPossible', code, reason}, status);
}

function refusedForm(status: 'idle' | 'failed' = 'idle'): KeyedOutcome {
  const reason =
    'an idempotency key is for statements that commit by themselves, or for ' +
    'BEGIN, statements and COMMIT, each in a batch of its own';
  const code = SqlState.FEATURE_NOT_SUPPORTED;
  return failed({kind: 'notPossible', code, reason}, status);
}

function tooLarge(lease: LeaseHolder): KeyedOutcome {
  lease.release();
  const reason = 'its answers are too large to be kept under the key';
  const code = SqlState.PROGRAM_LIMIT_EXCEEDED;
  return failed({kind: 'notPossible', code, reason}, 'idle');
}

/** COMMIT was not sent. */
function rolledBack(
  lease: LeaseHolder,
  status: 'idle' | 'failed',
): KeyedOutcome {
  lease.release();
  const reason = 'the backend server was lost, or is no longer the primary';
  return failed({kind: 'rolledBack', reason}, status);
}

function unknown(): KeyedOutcome {
  const reason = 'no answer to COMMIT came';
  return failed({kind: 'unknown', reason, keyed: true}, 'idle');
}
