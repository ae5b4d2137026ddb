import {SessionToken} from '@apricotlock/session';
import {StatementClassifier} from '@apricotlock/sql';
import {TimerService} from '@apricotlock/timer';
import {CatalogueEntry} from '@apricotlock/topology';
import {
  AcceptedCaller,
  errorResponse,
  Frame,
  FrontendType,
  readyForQuery,
  SqlState,
  TransactionStatus,
} from '@apricotlock/wire';
import {
  BatchInProgress,
  failureOfAbandoned,
  fatalFields,
  SHUTTING_DOWN,
} from './abandoned_batch.js';
import {
  AnswerReader,
  failureAnswer,
  hasAnyError,
  withoutReady,
  withParameterStatus,
} from './answer.js';
import {CollectedStep} from './batch_collector.js';
import {failureFromBatchError, planBatch} from './batch_plan.js';
import {mayCommit, runRequest, SYNC_FRAME} from './batch_run.js';
import {CallerInput} from './caller_input.js';
import {IdempotencyCleaner} from './idempotency_cleaner.js';
import {beginKeyed, KeyedOutcome, KeyedRequest} from './keyed_request.js';
import {ConnectionLease, RunResult} from './connection_lease.js';
import {executes, buildLocalAnswer, countMessages} from './local_answer.js';
import {applySet, LocalStatement, runLocally} from './local_statement.js';
import {Failure} from './failure.js';
import {BatchError, BatchReader, RequestBatch} from './request_batch.js';
import {Router} from './router.js';
import {SessionObserver} from './session_observer.js';
import {SessionSettings, SettingName} from './session_settings.js';

/** Options of {@link CallerSession}. */
export interface CallerSessionOptions {
  /** Identifies the session to the owners of members, for fairness. */
  readonly id: string;
  readonly caller: AcceptedCaller;
  /** Settings that the caller requested when it connected. */
  readonly settings: SessionSettings;
  /** Returns the caller's catalogue entry in the latest cluster view. */
  readonly entry: () => CatalogueEntry | undefined;
  readonly router: Router;
  readonly timer: TimerService;
  readonly cleaner: IdempotencyCleaner;
  readonly classifier: StatementClassifier;
  readonly observer: SessionObserver;
}

type Finished = Extract<RunResult, {kind: 'finished'}>;

/** Serves the requests of one caller, one batch after the other. */
export class CallerSession {
  private settings: SessionSettings;
  private status: TransactionStatus = 'idle';
  /** The connection lease of the open transaction. */
  private lease: ConnectionLease | undefined;
  /** The open transaction under an idempotency key. */
  private keyedRequest: KeyedRequest | undefined;
  /** The connection lease on which a batch is running. */
  private runningLease: ConnectionLease | undefined;
  private readonly reader: BatchReader;
  private readonly input: CallerInput;
  private answering = false;
  private endRequested = false;
  /** The batch that is run on a member. */
  private running: BatchInProgress | undefined;
  /** Whether answers are not sent any more and leases not used. */
  private closed = false;
  /** The session token that was last sent to the caller. */
  private announcedToken: string | undefined;
  /** Number of messages of the next answer already sent after a Flush. */
  private deliveredMessages = 0;

  private constructor(private readonly options: CallerSessionOptions) {
    this.reader = BatchReader.create(options.classifier);
    this.settings = options.settings;
    this.input = CallerInput.create(options.caller);
    options.caller.stream.socket.once('close', () => this.close());
  }

  /** Creates a session for an authenticated caller. */
  static create(options: CallerSessionOptions): CallerSession {
    return new CallerSession(options);
  }

  /**
   * Whether no batch is running or has arrived, not even in part, and no
   * transaction is open.
   */
  get idle(): boolean {
    return !this.answering && this.status === 'idle' && !this.input.pending;
  }

  /** Ends the session after the next answer that leaves it idle. */
  endWhenIdle(): void {
    this.endRequested = true;
  }

  /** Ends an idle session. What arrives from now on is not run. */
  endIfIdle(): void {
    if (this.idle) this.input.end();
  }

  /**
   * Ends the session at once. A running batch is answered with what is known of
   * its outcome, and an open transaction is rolled back.
   */
  abandon(): void {
    const {caller, observer} = this.options;
    let error = SHUTTING_DOWN;
    if (this.running !== undefined) {
      const failure = failureOfAbandoned(this.running);
      observer.onFailure(failure);
      error = fatalFields(failure);
    }
    if (!this.closed) caller.stream.write(errorResponse(error));
    this.close();
    this.lease?.release();
    this.input.end();
  }

  /** Cancels the running statement, if there is one. */
  cancel(): void {
    this.runningLease?.cancel();
  }

  /** Serves batches until the caller disconnects or the session is ended. */
  async run(): Promise<void> {
    try {
      for (;;) {
        const next = await this.input.next();
        if (next.isLeft()) {
          return this.rejectStream('a message is too long or malformed');
        }
        const step = next.unsafeCoerce();
        if (step === undefined) return;
        if (!(await this.handleStep(step))) return;
        if (this.closed || (this.endRequested && this.idle)) return;
      }
    } finally {
      this.input.end();
      this.lease?.release();
      this.keyedRequest?.release();
    }
  }

  private async handleStep(step: CollectedStep): Promise<boolean> {
    switch (step.kind) {
      case 'batch':
        await this.writeAnswer(() => this.answerBatch(step.frames));
        this.deliveredMessages = 0;
        return true;
      case 'flush':
        await this.writeAnswer(() => this.answerFlush(step.frames));
        return true;
      case 'skipped':
        await this.writeAnswer(async () => readyForQuery(this.status));
        this.deliveredMessages = 0;
        return true;
      case 'unknownMessage':
        this.rejectStream('unknown message type');
        return false;
      case 'tooLong':
        this.rejectStream('the messages before Sync exceed the size limit');
        return false;
      default:
        return false;
    }
  }

  private async writeAnswer(work: () => Promise<Buffer>): Promise<void> {
    this.answering = true;
    const answer = await work();
    await this.write(answer);
    this.answering = false;
  }

  private async write(bytes: Buffer): Promise<void> {
    const {stream} = this.options.caller;
    if (this.closed) return;
    if (bytes.length > 0) stream.write(bytes);
    await stream.waitForDrain();
  }

  private async answerBatch(frames: readonly Frame[]): Promise<Buffer> {
    const [first] = frames;
    if (frames.length === 1 && first?.type === FrontendType.SYNC) {
      return readyForQuery(this.status);
    }
    const read = this.reader.read(frames);
    if (read.isLeft()) {
      return this.fail(failureFromBatchError(read.extract() as BatchError));
    }
    const batch = read.unsafeCoerce();
    const holdsLease =
      this.lease !== undefined || this.keyedRequest !== undefined;
    const {settings, status} = this;
    const plan = planBatch(batch, settings, {status, holdsLease});
    switch (plan.kind) {
      case 'refuse':
        return this.fail(plan.failure, batch);
      case 'local':
        return this.answerLocally(batch, plan.statement);
      case 'endFailedTransaction':
        this.status = 'idle';
        return buildLocalAnswer(batch.frames, {tag: 'ROLLBACK'}, 'idle');
      case 'run':
        this.running = {
          purpose: plan.purpose,
          inTransaction: holdsLease,
          mayCommit: mayCommit(batch),
          keyed: settings.idempotencyKey !== undefined,
        };
        return this.runBatch(batch, plan.purpose).finally(() => {
          this.running = undefined;
        });
    }
  }

  /**
   * Answers messages for which the caller expects answers before its Sync.
   * Messages that only prepare are run now and again with the rest of the
   * batch, because no connection is held in between. Execute is refused, as it
   * must not run twice.
   */
  private async answerFlush(frames: readonly Frame[]): Promise<Buffer> {
    if (executes(frames)) {
      this.input.skipToSync();
      const failure: Failure = {
        kind: 'notPossible',
        code: SqlState.FEATURE_NOT_SUPPORTED,
        reason: 'Flush after Execute is not supported; use Sync',
      };
      return withoutReady(this.fail(failure));
    }
    const answer = await this.answerBatch([...frames, SYNC_FRAME]);
    if (hasAnyError(answer)) this.input.skipToSync();
    this.deliveredMessages = countMessages(frames);
    return withoutReady(answer);
  }

  private answerLocally(
    batch: RequestBatch,
    statement: LocalStatement,
  ): Buffer {
    const {database} = this.options.entry() ?? {database: ''};
    const outcome = runLocally(statement, this.settings, database);
    if (outcome.isLeft()) {
      return this.fail(outcome.extract() as Failure, batch);
    }
    const {result, settings} = outcome.unsafeCoerce();
    if (batch.executes) {
      this.settings = settings;
      if (statement.kind === 'discardAll') this.reader.clear();
    }
    const answer = buildLocalAnswer(batch.frames, result, this.status);
    return this.readerFor(batch, 0).filterVisible(answer);
  }

  private async runBatch(
    batch: RequestBatch,
    purpose: 'read' | 'write',
  ): Promise<Buffer> {
    if (this.lease !== undefined) return this.runOnHeldLease(this.lease, batch);
    if (this.keyedRequest !== undefined) {
      return this.completeKeyed(batch, await this.keyedRequest.runNext(batch));
    }
    const entry = this.options.entry();
    if (entry === undefined) {
      const code = SqlState.INVALID_CATALOG_NAME;
      const reason = 'the catalogue entry of this session has been removed';
      return this.fail({kind: 'notPossible', code, reason}, batch);
    }
    const {idempotencyKey} = this.settings;
    if (purpose === 'write' && idempotencyKey !== undefined) {
      return this.beginKeyed(batch, entry, idempotencyKey);
    }
    return this.runOnNewLease(batch, entry, purpose);
  }

  private async beginKeyed(
    batch: RequestBatch,
    entry: CatalogueEntry,
    key: string,
  ): Promise<Buffer> {
    const {id, router, timer, cleaner} = this.options;
    const {settings} = this;
    const onLease = (lease: ConnectionLease) => this.setRunningLease(lease);
    const context = {entry, session: id, settings, router, timer, onLease};
    const outcome = await beginKeyed(context, key, batch);
    cleaner.recordKeyUse(entry);
    return this.completeKeyed(batch, outcome);
  }

  private completeKeyed(batch: RequestBatch, outcome: KeyedOutcome): Buffer {
    this.runningLease = undefined;
    this.status = outcome.status;
    if (outcome.kind === 'failed') {
      this.keyedRequest = undefined;
      return this.fail(outcome.failure, batch);
    }
    this.keyedRequest = outcome.openRequest;
    // The key belongs to the completed request, not to the next one.
    if (outcome.keyCompleted) {
      this.settings = {...this.settings, idempotencyKey: undefined};
    }
    const reader = this.readerFor(batch, 0);
    const answer = reader.filterVisible(outcome.answer);
    if (!batch.simple) this.reader.prune(batch, reader.completedParses);
    if (outcome.lastResult !== undefined) this.updateToken(outcome.lastResult);
    return this.withToken(answer);
  }

  private async runOnNewLease(
    batch: RequestBatch,
    entry: CatalogueEntry,
    purpose: 'read' | 'write',
  ): Promise<Buffer> {
    const replay = this.settings.tracked.replayQuery();
    const reader = this.readerFor(batch, replay === undefined ? 0 : 1);
    const {router, id, observer} = this.options;
    const startedAt = observer.now();
    const outcome = await router.route({
      entry,
      session: id,
      settings: this.settings,
      purpose,
      run: runRequest(batch, replay),
      sink: part => this.write(reader.filterVisible(part)),
      onLease: lease => this.setRunningLease(lease),
    });
    this.runningLease = undefined;
    if (outcome.kind === 'notRouted') return this.fail(outcome.failure, batch);
    observer.onServed(outcome.servedBy, purpose, observer.now() - startedAt);
    return this.completeRun(outcome.lease, batch, outcome.result, reader);
  }

  private async runOnHeldLease(
    lease: ConnectionLease,
    batch: RequestBatch,
  ): Promise<Buffer> {
    const reader = this.readerFor(batch, 0);
    this.setRunningLease(lease);
    const result = await lease.run(runRequest(batch, undefined), part =>
      this.write(reader.filterVisible(part)),
    );
    this.runningLease = undefined;
    if (result.kind === 'finished' && result.confirmed) {
      return this.completeRun(lease, batch, result, reader);
    }
    lease.release();
    this.lease = undefined;
    const commits = mayCommit(batch);
    const reason = 'the backend server is unreachable or no longer the primary';
    this.status = commits ? 'idle' : 'failed';
    return this.fail({kind: commits ? 'unknown' : 'rolledBack', reason}, batch);
  }

  private setRunningLease(lease: ConnectionLease): void {
    this.runningLease = lease;
    if (this.closed) lease.release();
  }

  private readerFor(batch: RequestBatch, hiddenAnswers: number): AnswerReader {
    return AnswerReader.create({
      hiddenAnswers,
      hiddenParses: batch.hiddenParses,
      deliveredMessages: this.deliveredMessages,
      counts: batch.created.length > 0,
    });
  }

  private completeRun(
    lease: ConnectionLease,
    batch: RequestBatch,
    result: Finished,
    reader: AnswerReader,
  ): Buffer {
    this.status = result.status;
    if (result.status === 'idle') {
      lease.release();
      this.lease = undefined;
    } else {
      this.lease = lease;
    }
    const answer = reader.filterVisible(result.answer);
    if (!batch.simple) this.reader.prune(batch, reader.completedParses);
    this.trackSettings(batch, answer);
    this.updateToken(result);
    return this.withToken(answer);
  }

  /** Adds a changed session token to an answer outside a transaction. */
  private withToken(answer: Buffer): Buffer {
    const token = this.settings.token?.toString();
    const isAnnounced = token === undefined || token === this.announcedToken;
    if (isAnnounced || this.status !== 'idle') return answer;
    this.announcedToken = token;
    return withParameterStatus(answer, SettingName.SESSION, token);
  }

  /** Tracks the values of a SET batch once the member has accepted them. */
  private trackSettings({statements}: RequestBatch, answer: Buffer): void {
    if (!statements.some(({kind}) => kind === 'setSession')) return;
    if (hasAnyError(answer)) return;
    for (const statement of statements) {
      if (statement.kind !== 'setSession') continue;
      applySet(statement, this.settings).ifRight(settings => {
        this.settings = settings;
      });
    }
  }

  /** Updates the token so that later reads show at least this answer's data. */
  private updateToken({term, position}: Finished): void {
    if (position === undefined) return;
    const {token} = this.settings;
    if (token?.covers(term, position)) return;
    const {database} = this.options.entry() ?? {database: ''};
    const seen = SessionToken.of(database, term, position);
    const merged = token === undefined ? seen : token.merge(seen);
    this.settings = {...this.settings, token: merged};
  }

  private fail(failure: Failure, batch?: RequestBatch): Buffer {
    this.options.observer.onFailure(failure);
    if (batch !== undefined) this.reader.prune(batch, 0);
    if (this.status === 'transaction' && failure.kind === 'notPossible') {
      // PostgreSQL aborts a transaction on any error, so the proxy does too.
      this.lease?.release();
      this.lease = undefined;
      this.keyedRequest?.release();
      this.keyedRequest = undefined;
      this.status = 'failed';
    }
    return failureAnswer(failure, this.status);
  }

  /**
   * Releases the leases of a running batch and of a keyed request, so that they
   * do not wait for an answer, after the caller disconnected or was told that
   * the session ends. The lease of an open transaction is released when
   * {@link CallerSession.run} ends.
   */
  private close(): void {
    this.closed = true;
    this.runningLease?.release();
    this.keyedRequest?.release();
  }

  private rejectStream(message: string): void {
    const failure: Failure = {
      kind: 'notPossible',
      code: SqlState.PROTOCOL_VIOLATION,
      reason: message,
    };
    this.options.observer.onFailure(failure);
    this.options.caller.stream.write(errorResponse(fatalFields(failure)));
  }
}
