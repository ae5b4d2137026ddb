import {SessionToken} from '@apricotlock/session';
import {StatementClassifier} from '@apricotlock/sql';
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
  AnswerReader,
  failureAnswer,
  hasAnyError,
  withoutReady,
  withParameter,
} from './answer.js';
import {BatchCollector, CollectedStep} from './batch_collector.js';
import {batchFailure, planBatch} from './batch_plan.js';
import {LeaseHolder, RunRequest, RunResult} from './lease_holder.js';
import {executes, localAnswer, messagesFor} from './local_answer.js';
import {applySet, LocalStatement, runLocally} from './local_statement.js';
import {Failure, failureFields} from './outcome.js';
import {BatchError, BatchReader, RequestBatch} from './request_batch.js';
import {Router} from './router.js';
import {SessionSettings, SettingName} from './session_settings.js';

const SYNC_FRAME: Frame = {
  type: FrontendType.SYNC,
  bytes: Buffer.from([FrontendType.SYNC, 0, 0, 0, 4]),
};

/** What a session counts for the metrics. */
export interface SessionObserver {
  /** A clock in milliseconds, for the durations that it is told. */
  readonly now: () => number;
  readonly served: (
    by: 'primary' | 'replica',
    purpose: 'read' | 'write',
    milliseconds: number,
  ) => void;
  readonly failed: (failure: Failure) => void;
}

/** What a session needs. */
export interface CallerSessionOptions {
  readonly id: string;
  readonly caller: AcceptedCaller;
  /** Settings that the caller gave when it connected. */
  readonly settings: SessionSettings;
  /** The caller's entry as the newest view has it. */
  readonly entry: () => CatalogueEntry | undefined;
  readonly router: Router;
  readonly classifier: StatementClassifier;
  readonly observer: SessionObserver;
}

type Finished = Extract<RunResult, {kind: 'finished'}>;

/** Serves one caller, in a task of its own. */
export class CallerSession {
  private settings: SessionSettings;
  private status: TransactionStatus = 'idle';
  /** Held while a transaction is open. */
  private lease: LeaseHolder | undefined;
  /** The lease on which a batch is under way. */
  private running: LeaseHolder | undefined;
  private readonly reader: BatchReader;
  private readonly collector = BatchCollector.create();
  private batchUnderWay = false;
  private ending = false;
  private gone = false;
  /** The token that the caller was last told. */
  private toldToken: string | undefined;
  /** Messages of the next answer that the caller got after a Flush. */
  private messagesTold = 0;

  private constructor(private readonly options: CallerSessionOptions) {
    this.reader = BatchReader.create(options.classifier);
    this.settings = options.settings;
    options.caller.stream.socket.once('close', () => this.abandon());
  }

  /** A session whose caller has been let in. */
  static create(options: CallerSessionOptions): CallerSession {
    return new CallerSession(options);
  }

  /** Whether the session could end now without cutting anything. */
  get idle(): boolean {
    return !this.batchUnderWay && this.status === 'idle';
  }

  /** Makes the session end as soon as it is idle. */
  endWhenIdle(): void {
    this.ending = true;
  }

  /** Cancels the statement under way, if there is one. */
  cancel(): void {
    this.running?.cancel();
  }

  /** Serves batch after batch until the caller goes. */
  async run(): Promise<void> {
    try {
      for (;;) {
        const frame = await this.nextFrame();
        if (frame === undefined) return;
        const step = this.collector.take(frame);
        if (step.kind === 'goOn') continue;
        if (!(await this.serve(step))) return;
        if (this.ending && this.idle) return;
      }
    } finally {
      this.lease?.release();
    }
  }

  private async nextFrame(): Promise<Frame | undefined> {
    const {stream, splitter} = this.options.caller;
    for (;;) {
      const next = splitter.next();
      if (next.isLeft()) {
        this.refuseStream('the message is too long or malformed');
        return undefined;
      }
      const frame = next.extract() as Frame | undefined;
      if (frame !== undefined) return frame;
      const chunk = await stream.read();
      if (chunk === undefined) return undefined;
      splitter.push(chunk);
    }
  }

  private async serve(step: CollectedStep): Promise<boolean> {
    switch (step.kind) {
      case 'batch':
        await this.answer(() => this.answerTo(step.frames));
        this.messagesTold = 0;
        return true;
      case 'flush':
        await this.answer(() => this.answerToFlush(step.frames));
        return true;
      case 'skipped':
        await this.answer(async () => readyForQuery(this.status));
        this.messagesTold = 0;
        return true;
      case 'unknownMessage':
        this.refuseStream('unknown message type');
        return false;
      case 'tooLong':
        this.refuseStream('more was sent before Sync than is allowed');
        return false;
      default:
        return false;
    }
  }

  private async answer(work: () => Promise<Buffer>): Promise<void> {
    this.batchUnderWay = true;
    const answer = await work();
    await this.tell(answer);
    this.batchUnderWay = false;
  }

  private async tell(bytes: Buffer): Promise<void> {
    const {stream} = this.options.caller;
    if (bytes.length > 0) stream.write(bytes);
    await stream.drained();
  }

  private async answerTo(frames: readonly Frame[]): Promise<Buffer> {
    const [first] = frames;
    if (frames.length === 1 && first?.type === FrontendType.SYNC) {
      return readyForQuery(this.status);
    }
    const read = this.reader.read(frames);
    if (read.isLeft()) {
      return this.fail(batchFailure(read.extract() as BatchError));
    }
    const batch = read.unsafeCoerce();
    const plan = planBatch(batch, this.settings, {
      status: this.status,
      holdsLease: this.lease !== undefined,
    });
    switch (plan.kind) {
      case 'refuse':
        return this.fail(plan.failure, batch);
      case 'local':
        return this.answerLocally(batch, plan.statement);
      case 'endFailed':
        this.status = 'idle';
        return localAnswer(batch.frames, {tag: 'ROLLBACK'}, 'idle');
      case 'run':
        if (this.lease !== undefined) return this.goOn(this.lease, batch);
        return this.begin(batch, plan.purpose);
    }
  }

  /**
   * The caller waits for answers before its Sync. What only prepares is run
   * now, and once more with the rest: a connection is not held between the
   * two. What executes cannot be run twice.
   */
  private async answerToFlush(frames: readonly Frame[]): Promise<Buffer> {
    if (executes(frames)) {
      this.collector.skipToSync();
      const failure: Failure = {
        kind: 'notPossible',
        code: SqlState.FEATURE_NOT_SUPPORTED,
        reason: 'Flush after Execute; send Sync',
      };
      return withoutReady(this.fail(failure));
    }
    const answer = await this.answerTo([...frames, SYNC_FRAME]);
    if (hasAnyError(answer)) this.collector.skipToSync();
    this.messagesTold = messagesFor(frames);
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
      if (statement.kind === 'discardAll') this.reader.forgetAll();
    }
    const answer = localAnswer(batch.frames, result, this.status);
    return this.readerFor(batch, 0).take(answer);
  }

  private async begin(
    batch: RequestBatch,
    purpose: 'read' | 'write',
  ): Promise<Buffer> {
    const entry = this.options.entry();
    if (entry === undefined) {
      const code = SqlState.INVALID_CATALOG_NAME;
      const reason = 'the catalogue has this entry no more';
      return this.fail({kind: 'notPossible', code, reason}, batch);
    }
    const replay = this.settings.tracked.replay();
    const reader = this.readerFor(batch, replay === undefined ? 0 : 1);
    const {router, id, observer} = this.options;
    const startedAt = observer.now();
    const outcome = await router.route({
      entry,
      session: id,
      settings: this.settings,
      purpose,
      run: runRequest(batch, replay),
      sink: part => this.tell(reader.take(part)),
      holding: lease => this.holding(lease),
    });
    this.running = undefined;
    if (outcome.kind === 'notRouted') return this.fail(outcome.failure, batch);
    observer.served(outcome.servedBy, purpose, observer.now() - startedAt);
    return this.finish(outcome.lease, batch, outcome.result, reader);
  }

  private async goOn(lease: LeaseHolder, batch: RequestBatch): Promise<Buffer> {
    const reader = this.readerFor(batch, 0);
    this.holding(lease);
    const result = await lease.run(runRequest(batch, undefined), part =>
      this.tell(reader.take(part)),
    );
    this.running = undefined;
    if (result.kind === 'finished' && result.confirmed) {
      return this.finish(lease, batch, result, reader);
    }
    lease.release();
    this.lease = undefined;
    const commits =
      batch.unparsed || batch.statements.some(({kind}) => kind === 'commit');
    const reason = 'the backend server was lost, or is no longer the primary';
    this.status = commits ? 'idle' : 'failed';
    return this.fail({kind: commits ? 'unknown' : 'rolledBack', reason}, batch);
  }

  private holding(lease: LeaseHolder): void {
    this.running = lease;
    if (this.gone) lease.release();
  }

  private readerFor(batch: RequestBatch, hiddenAnswers: number): AnswerReader {
    return AnswerReader.create({
      hiddenAnswers,
      hiddenParses: batch.hidden,
      messagesTold: this.messagesTold,
      counts: batch.made.length > 0,
    });
  }

  private finish(
    lease: LeaseHolder,
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
    const answer = reader.take(result.answer);
    if (!batch.simple) this.reader.settle(batch, reader.parsed);
    this.learnSettings(batch, answer);
    this.learn(result);
    const token = this.settings.token?.toString();
    const told = token === undefined || token === this.toldToken;
    if (told || result.status !== 'idle') return answer;
    this.toldToken = token;
    return withParameter(answer, SettingName.SESSION, token);
  }

  /** The member has checked the values: from now on they are replayed. */
  private learnSettings({statements}: RequestBatch, answer: Buffer): void {
    if (!statements.some(({kind}) => kind === 'setSession')) return;
    if (hasAnyError(answer)) return;
    for (const statement of statements) {
      if (statement.kind !== 'setSession') continue;
      applySet(statement, this.settings).ifRight(settings => {
        this.settings = settings;
      });
    }
  }

  /** Later reads have to show at least what this answer may have shown. */
  private learn({term, position}: Finished): void {
    if (position === undefined) return;
    const {token} = this.settings;
    if (token?.covers(term, position)) return;
    const {database} = this.options.entry() ?? {database: ''};
    const seen = SessionToken.of(database, term, position);
    const merged = token === undefined ? seen : token.merge(seen);
    this.settings = {...this.settings, token: merged};
  }

  private fail(failure: Failure, batch?: RequestBatch): Buffer {
    this.options.observer.failed(failure);
    if (batch !== undefined) this.reader.settle(batch, 0);
    if (this.status === 'transaction' && failure.kind === 'notPossible') {
      // PostgreSQL would abort the transaction; so must the proxy.
      this.lease?.release();
      this.lease = undefined;
      this.status = 'failed';
    }
    return failureAnswer(failure, this.status);
  }

  /** The caller is gone: nothing of it may hold a connection any longer. */
  private abandon(): void {
    this.gone = true;
    this.running?.release();
  }

  private refuseStream(message: string): void {
    const failure: Failure = {
      kind: 'notPossible',
      code: SqlState.PROTOCOL_VIOLATION,
      reason: message,
    };
    this.options.observer.failed(failure);
    const fields = {...failureFields(failure), severity: 'FATAL' as const};
    this.options.caller.stream.write(errorResponse(fields));
  }
}

function runRequest(
  batch: RequestBatch,
  replay: Buffer | undefined,
): RunRequest {
  const sets = batch.statements.some(({kind}) => kind === 'setSession');
  if (replay === undefined) {
    return {bytes: batch.bytes, answers: 1, reset: sets};
  }
  const bytes = Buffer.concat([replay, batch.bytes]);
  return {bytes, answers: 2, reset: true};
}
