import {TimerService} from '@apricotlock/timer';
import {CatalogueEntry} from '@apricotlock/topology';
import {BackendType, SqlState} from '@apricotlock/wire';
import {
  splitAnswers,
  firstValueOf,
  hasAnyError,
  hasError,
  hasMessageOfType,
} from './answer.js';
import {IdempotencyRecord} from './idempotency_record.js';
import {
  claimKeyQuery,
  CREATE_TABLE_QUERY,
  findRecordQuery,
} from './idempotency_table.js';
import {ConnectionLease, RunResult} from './connection_lease.js';
import {Failure} from './failure.js';
import {Router} from './router.js';
import {SessionSettings} from './session_settings.js';

/**
 * An attempt is repeated after the table has been created, or if the key was
 * deleted between the two queries.
 */
const MAXIMUM_CLAIM_ATTEMPTS = 3;
/** Time after which a caller is advised to retry a request. */
const RETRY_HINT_MILLISECONDS = 500;

/** Dependencies of a request that runs under an idempotency key. */
export interface KeyedContext {
  readonly entry: CatalogueEntry;
  readonly session: string;
  readonly settings: SessionSettings;
  readonly router: Router;
  readonly timer: TimerService;
  /** Called with each connection lease that is requested. */
  readonly onLease: (lease: ConnectionLease) => void;
}

type Finished = Extract<RunResult, {kind: 'finished'}>;

/** Result of claiming a key. */
export type ClaimOutcome =
  /** The key was free; the transaction open on the lease has claimed it. */
  | {
      readonly kind: 'claimed';
      readonly lease: ConnectionLease;
      /** Answer to the query that opened the transaction. */
      readonly openingAnswer: Buffer;
    }
  /** A request has already been committed under the key. */
  | {
      readonly kind: 'known';
      readonly record: IdempotencyRecord;
      /** Result of the query that selected the record. */
      readonly lastResult: Finished;
    }
  | {readonly kind: 'failed'; readonly failure: Failure};

/**
 * Opens a transaction on the primary and claims the key in it. Only the
 * creation of the table is committed here, so every failure means that the
 * request was not run.
 */
export async function claimKey(
  context: KeyedContext,
  key: string,
  openingQuery: Buffer,
): Promise<ClaimOutcome> {
  for (let attempt = 0; attempt < MAXIMUM_CLAIM_ATTEMPTS; attempt++) {
    const outcome = await claimOnce(context, key, openingQuery);
    if (outcome !== 'retry') return outcome;
  }
  return notRunOutcome('the idempotency key could not be claimed');
}

async function claimOnce(
  context: KeyedContext,
  key: string,
  openingQuery: Buffer,
): Promise<ClaimOutcome | 'retry'> {
  const replay = context.settings.tracked.replayQuery();
  const claimQuery = claimKeyQuery(key, context.timer.wallClock());
  const settingQueries = replay === undefined ? [] : [replay];
  const outcome = await routeQueries(context, [
    ...settingQueries,
    openingQuery,
    claimQuery,
  ]);
  if (outcome.kind === 'notRouted') {
    return {kind: 'failed', failure: toNotRun(outcome.failure)};
  }
  const {lease, result} = outcome;
  const [beginAnswer, claimAnswer] = splitAnswers(result.answer).slice(
    settingQueries.length,
  );
  if (beginAnswer === undefined || claimAnswer === undefined) {
    lease.release();
    return notRunOutcome('the answer to the key claim is incomplete');
  }
  if (hasError(claimAnswer, SqlState.UNDEFINED_TABLE)) {
    lease.release();
    return createTable(context);
  }
  if (hasAnyError(beginAnswer) || hasAnyError(claimAnswer)) {
    lease.release();
    return notRunOutcome(
      'another request under the same idempotency key may still be running',
    );
  }
  if (hasMessageOfType(claimAnswer, BackendType.DATA_ROW)) {
    return {kind: 'claimed', lease, openingAnswer: beginAnswer};
  }
  return findRecord(lease, key);
}

async function findRecord(
  lease: ConnectionLease,
  key: string,
): Promise<ClaimOutcome | 'retry'> {
  const result = await lease.run(
    {bytes: findRecordQuery(key), answers: 1, reset: false},
    async () => undefined,
  );
  lease.release();
  if (result.kind !== 'finished' || !result.confirmed) {
    return notRunOutcome('the stored answer could not be read');
  }
  const text = firstValueOf(result.answer);
  // The key was deleted between the two queries.
  if (text === undefined) return 'retry';
  return IdempotencyRecord.parse(text).caseOf<ClaimOutcome>({
    Left: () =>
      notRunOutcome('the record stored under the idempotency key is malformed'),
    Right: record => ({kind: 'known', record, lastResult: result}),
  });
}

async function createTable(
  context: KeyedContext,
): Promise<ClaimOutcome | 'retry'> {
  const outcome = await routeQueries(context, [CREATE_TABLE_QUERY]);
  if (outcome.kind === 'routed') outcome.lease.release();
  return 'retry';
}

function routeQueries(context: KeyedContext, queries: readonly Buffer[]) {
  const {entry, session, settings, router, onLease} = context;
  return router.route({
    entry,
    session,
    settings,
    purpose: 'write',
    run: {
      bytes: Buffer.concat(queries),
      answers: queries.length,
      reset: settings.tracked.replayQuery() !== undefined,
    },
    sink: async () => undefined,
    onLease,
  });
}

/**
 * Turns an unknown outcome into `notRun`: nothing has been committed, even if
 * the connection was lost.
 */
function toNotRun(failure: Failure): Failure {
  if (failure.kind !== 'unknown') return failure;
  const {reason} = failure;
  return {
    kind: 'notRun',
    reason,
    retryAfterMilliseconds: RETRY_HINT_MILLISECONDS,
  };
}

function notRunOutcome(
  reason: string,
): Extract<ClaimOutcome, {kind: 'failed'}> {
  const retryAfterMilliseconds = RETRY_HINT_MILLISECONDS;
  return {
    kind: 'failed',
    failure: {kind: 'notRun', reason, retryAfterMilliseconds},
  };
}
