import {TimerService} from '@apricotlock/timer';
import {CatalogueEntry} from '@apricotlock/topology';
import {BackendType, SqlState} from '@apricotlock/wire';
import {
  answersOf,
  firstValueOf,
  hasAnyError,
  hasError,
  hasType,
} from './answer.js';
import {IdempotencyRecord} from './idempotency_record.js';
import {claimQuery, CREATE_TABLE, findQuery} from './idempotency_table.js';
import {LeaseHolder, RunResult} from './lease_holder.js';
import {Failure} from './outcome.js';
import {Router} from './router.js';
import {SessionSettings} from './session_settings.js';

const MAXIMUM_TRIES = 3;
const RETRY_HINT_MILLISECONDS = 500;

/** What is needed to run something under an idempotency key. */
export interface KeyedContext {
  readonly entry: CatalogueEntry;
  readonly session: string;
  readonly settings: SessionSettings;
  readonly router: Router;
  readonly timer: TimerService;
  /** Told of each lease that is held. */
  readonly holding: (lease: LeaseHolder) => void;
}

type Finished = Extract<RunResult, {kind: 'finished'}>;

/** What became of taking a key. */
export type ClaimOutcome =
  /** It was free: the transaction on the lease has it now. */
  | {
      readonly kind: 'claimed';
      readonly lease: LeaseHolder;
      /** The answer to what opened the transaction. */
      readonly opening: Buffer;
    }
  /** A request under it has been done before. */
  | {
      readonly kind: 'known';
      readonly record: IdempotencyRecord;
      readonly seen: Finished;
    }
  | {readonly kind: 'failed'; readonly failure: Failure};

/**
 * Opens a transaction on the primary and takes the key in it. Nothing that is
 * done here is committed, but for the table itself, so every failure is a true
 * "not run".
 */
export async function claimKey(
  context: KeyedContext,
  key: string,
  opening: Buffer,
): Promise<ClaimOutcome> {
  for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
    const outcome = await claimOnce(context, key, opening);
    if (outcome !== 'tryAgain') return outcome;
  }
  return notRun('the key could not be taken');
}

async function claimOnce(
  context: KeyedContext,
  key: string,
  opening: Buffer,
): Promise<ClaimOutcome | 'tryAgain'> {
  const replay = context.settings.tracked.replay();
  const claim = claimQuery(key, context.timer.wallClock());
  const before = replay === undefined ? [] : [replay];
  const outcome = await route(context, [...before, opening, claim]);
  if (outcome.kind === 'notRouted') {
    return {kind: 'failed', failure: asNotRun(outcome.failure)};
  }
  const {lease, result} = outcome;
  const [opened, claimed] = answersOf(result.answer).slice(before.length);
  if (opened === undefined || claimed === undefined) {
    lease.release();
    return notRun('the answer could not be read');
  }
  if (hasError(claimed, SqlState.UNDEFINED_TABLE)) {
    lease.release();
    return createTable(context);
  }
  if (hasAnyError(opened) || hasAnyError(claimed)) {
    lease.release();
    return notRun('an attempt under the same key has not ended yet');
  }
  if (hasType(claimed, BackendType.DATA_ROW)) {
    return {kind: 'claimed', lease, opening: opened};
  }
  return find(lease, key);
}

async function find(
  lease: LeaseHolder,
  key: string,
): Promise<ClaimOutcome | 'tryAgain'> {
  const result = await lease.run(
    {bytes: findQuery(key), answers: 1, reset: false},
    async () => undefined,
  );
  lease.release();
  if (result.kind !== 'finished' || !result.confirmed) {
    return notRun('the first answer could not be read');
  }
  const text = firstValueOf(result.answer);
  // The key was forgotten between the two statements.
  if (text === undefined) return 'tryAgain';
  return IdempotencyRecord.parse(text).caseOf<ClaimOutcome>({
    Left: () => notRun('what is stored under the key cannot be read'),
    Right: record => ({kind: 'known', record, seen: result}),
  });
}

async function createTable(
  context: KeyedContext,
): Promise<ClaimOutcome | 'tryAgain'> {
  const outcome = await route(context, [CREATE_TABLE]);
  if (outcome.kind === 'routed') outcome.lease.release();
  return 'tryAgain';
}

function route(context: KeyedContext, queries: readonly Buffer[]) {
  const {entry, session, settings, router, holding} = context;
  return router.route({
    entry,
    session,
    settings,
    purpose: 'write',
    run: {
      bytes: Buffer.concat(queries),
      answers: queries.length,
      reset: settings.tracked.replay() !== undefined,
    },
    sink: async () => undefined,
    holding,
  });
}

/** Nothing was committed, whatever became of the connection. */
function asNotRun(failure: Failure): Failure {
  if (failure.kind !== 'unknown') return failure;
  const {reason} = failure;
  return {
    kind: 'notRun',
    reason,
    retryAfterMilliseconds: RETRY_HINT_MILLISECONDS,
  };
}

function notRun(reason: string): Extract<ClaimOutcome, {kind: 'failed'}> {
  const retryAfterMilliseconds = RETRY_HINT_MILLISECONDS;
  return {
    kind: 'failed',
    failure: {kind: 'notRun', reason, retryAfterMilliseconds},
  };
}
