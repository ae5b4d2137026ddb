import {Observable, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {OperationQuota} from '@apricotlock/quota';
import {
  CallerAnswer,
  CallerFailure,
  CallerConnection,
  CallerRequest,
  laterPosition,
  SessionStart,
  SessionState,
  Statement,
  StatementAnswer,
} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, ServiceTerms} from '@apricotlock/topology';
import {RouteOutcome} from './attempt.js';
import {Authenticator} from './authenticator.js';
import {
  isUnauthenticated,
  toCallerFailure,
  toTransactionFailure,
} from './caller_failure.js';
import {ForwardedStatement, SessionContext} from './session_context.js';
import {StatementRouter} from './statement_router.js';
import {CatalogueLookup, DEFAULT_TERMS} from './catalogue_lookup.js';
import {runLocally} from './local_statement.js';
import {Operation, runWithinQuota} from './operation_admission.js';
import {RequestRecorder} from './request_recorder.js';
import {OwnWrite, RoutedStatement} from './routed_statement.js';
import {SessionCaller} from './session_caller.js';
import {
  ABANDONED_AT_STOP,
  answerPending,
  DrainLimits,
  failureAtStop,
  NOT_BEGUN_AT_STOP,
  SessionDrain,
} from './session_drain.js';
import {SessionObserver} from './session_observer.js';
import {SessionProgress, SessionSnapshot} from './session_progress.js';
import {
  isStarted,
  NO_TRANSACTION,
  opensFor,
  SessionTransaction,
  StartedTransaction,
  UnstartedTransaction,
} from './session_transaction.js';
import {WorkHandle} from './work_handle.js';

/** Time for a caller to send its start-up message after it has connected. */
const START_UP_TIMEOUT_MILLISECONDS = 5_000;

const NOT_STARTED: SessionStart = {database: '', credential: undefined};

/** Dependencies of a session. */
export interface StatementSessionOptions {
  readonly link: CallerConnection;
  readonly view: Observable<ClusterView>;
  readonly router: StatementRouter;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly observer: SessionObserver;
  readonly authenticator: Authenticator;
  /** If omitted, the operations of organisations are not limited. */
  readonly quota?: OperationQuota | undefined;
}

/** The session of one caller, from its first message to its last. */
export class StatementSession {
  private caller: SessionCaller;
  private context = SessionContext.EMPTY;
  private transaction: SessionTransaction = NO_TRANSACTION;
  private ownWrite: OwnWrite | undefined;
  /** Whether an idle transaction was ended and the caller not yet informed. */
  private rolledBackWhileIdle = false;
  private readonly ending = SessionDrain.create();
  /** Whether the request in progress was answered without its outcome. */
  private abandoned = false;

  /** How far the session has come. */
  readonly progress: SessionProgress;
  private readonly catalogue: CatalogueLookup;
  private readonly recorder: RequestRecorder;

  private constructor(private readonly options: StatementSessionOptions) {
    this.progress = SessionProgress.create(options.timer);
    this.catalogue = CatalogueLookup.of(options.view, options.timer);
    this.recorder = RequestRecorder.create(options);
    const {authenticator} = options;
    this.caller = SessionCaller.of(NOT_STARTED, authenticator);
  }

  /** Creates a session that has not begun. */
  static create(options: StatementSessionOptions): StatementSession {
    return new StatementSession(options);
  }

  /**
   * Whether a request was read and not answered, a transaction is open, or the
   * caller awaits the confirmation of its start.
   */
  get busy(): boolean {
    return (
      this.progress.processing ||
      this.progress.identifying ||
      this.transaction.kind !== 'none' ||
      this.options.link.hasPendingRequest
    );
  }

  /** Returns what the session is doing now, for the log. */
  snapshot(): SessionSnapshot {
    return this.progress.snapshot(this.transaction.kind !== 'none');
  }

  /** Serves the caller until it disconnects. */
  async run(): Promise<void> {
    try {
      await this.serve();
    } finally {
      this.progress.end();
    }
  }

  private async serve(): Promise<void> {
    const {link, timer} = this.options;
    const start = await withTimeout(
      timer,
      START_UP_TIMEOUT_MILLISECONDS,
      link.start(),
    );
    // Silent connections would use up the file descriptors of this VM.
    if (start === undefined || start === TIMED_OUT) return link.close();
    this.progress.beginIdentification();
    const {database} = start;
    await this.catalogue.waitForCatalogue();
    if (this.catalogue.lacksDatabase(database)) {
      this.options.observer.onFailure('unknownDatabase');
      this.options.logger.info('caller session rejected: unknown database', {
        database,
        catalogue: this.options.view.current.catalogue.version,
      });
      return link.reject({kind: 'unknownDatabase', database});
    }
    const caller = SessionCaller.of(start, this.options.authenticator);
    this.caller = caller;
    const refusal = await caller.identify();
    if (refusal !== undefined) {
      this.recorder.recordRefusedStart(database, refusal.kind);
      return link.reject(refusal);
    }
    if (this.ending.draining) {
      await link.readArrived();
      if (!link.hasPendingRequest) return link.reject(NOT_BEGUN_AT_STOP);
    }
    link.accept();
    this.progress.confirmStart();
    try {
      await this.serveRequests();
    } finally {
      // The transaction would otherwise keep its connection to the member.
      this.endTransaction();
    }
    link.close();
  }

  /**
   * Ends the session as soon as no request or transaction is in progress.
   * Resolves once it has ended, or is known to be busy. A request that has
   * arrived but was not read yet, because this VM is slow, is answered first.
   * No request is received after the session was found not to be busy, and none
   * is begun that could take longer than the limits.
   */
  async drain(limits?: DrainLimits): Promise<void> {
    const {link} = this.options;
    this.ending.begin(limits);
    if (this.busy) return;
    await link.readArrived();
    if (!this.busy) link.close();
  }

  /**
   * Ends the session at once. The request in progress is answered as of unknown
   * outcome, those that wait behind it and a start as not run, and an open
   * transaction is rolled back.
   */
  async abandon(): Promise<void> {
    const {link} = this.options;
    if (this.progress.identifying) return link.reject(NOT_BEGUN_AT_STOP);
    if (this.progress.processing) {
      this.abandoned = true;
      link.answer(this.fail(ABANDONED_AT_STOP));
      await answerPending(link, this.fail(NOT_BEGUN_AT_STOP));
    }
    this.endTransaction();
    link.close();
  }

  private async serveRequests(): Promise<void> {
    for (;;) {
      const request = await this.nextRequest();
      if (request === undefined) return;
      const receivedAt = this.options.timer.now();
      this.progress.beginRequest(request.id);
      const answer = await this.processRequest(request, receivedAt);
      if (this.abandoned) return;
      this.recorder.recordAnswer(request, answer, receivedAt, {
        database: this.caller.database,
        consistency: this.terms.consistency,
        organisation: this.caller.organisation?.name,
      });
      this.options.link.answer(answer);
      this.progress.endRequest();
      if (isUnauthenticated(answer)) return;
      if (this.ending.draining && !this.busy) return;
    }
  }

  /** Awaits the next request, and ends a transaction that is idle too long. */
  private async nextRequest(): Promise<CallerRequest | undefined> {
    const {link, timer} = this.options;
    const request = link.receive();
    const limitMilliseconds = this.idleLimitMilliseconds();
    if (limitMilliseconds === undefined) return request;
    const received = await withTimeout(timer, limitMilliseconds, request);
    if (received !== TIMED_OUT) return received;
    this.options.logger.info('transaction exceeded its idle time limit', {
      idle: limitMilliseconds,
    });
    this.endTransaction();
    this.transaction = NO_TRANSACTION;
    this.rolledBackWhileIdle = true;
    return request;
  }

  private idleLimitMilliseconds(): number | undefined {
    const {transaction} = this;
    if (!isStarted(transaction)) return undefined;
    return transaction.terms.idleTransactionMilliseconds;
  }

  private async processRequest(
    {id, statement}: CallerRequest,
    receivedAt: number,
  ): Promise<CallerAnswer> {
    if (this.rolledBackWhileIdle) {
      this.rolledBackWhileIdle = false;
      return this.fail({
        kind: 'rolledBack',
        reason: 'the transaction exceeded its idle time limit',
      });
    }
    const {statementMilliseconds} = this.terms;
    if (!this.ending.permits(receivedAt, statementMilliseconds)) {
      return this.refuseAtStop();
    }
    const refusal = await this.checkCaller();
    if (refusal !== undefined) return this.fail(refusal);
    if (statement.isLeft()) {
      return this.fail({
        kind: 'malformed',
        reason: statement.extract() as string,
      });
    }
    const parsed = statement.unsafeCoerce();
    const localAnswer = this.answerLocally(parsed);
    if (localAnswer !== undefined) return localAnswer;
    const forwarded = this.context.toForwarded(parsed);
    return forwarded.isLeft()
      ? this.fail(forwarded.extract() as CallerFailure)
      : this.forwardToMember(id, forwarded.unsafeCoerce(), receivedAt);
  }

  /**
   * Checks that the caller may still be served: an open transaction may
   * continue for a short time after its key was revoked, and anything else not
   * at all.
   */
  private async checkCaller(): Promise<CallerFailure | undefined> {
    const {transaction, caller} = this;
    if (transaction.kind === 'none' || transaction.kind === 'begun') {
      const refusal = await caller.identify();
      if (refusal !== undefined) this.transaction = NO_TRANSACTION;
      return refusal;
    }
    if (await caller.isPermittedAfterRefresh()) return undefined;
    this.endTransaction();
    this.transaction = NO_TRANSACTION;
    const reason = 'the key of the transaction is no longer valid';
    return {kind: 'rolledBack', reason};
  }

  /** Runs a statement that needs no member; `undefined` for any other. */
  private answerLocally(statement: Statement): CallerAnswer | undefined {
    const outcome = runLocally(statement, {
      context: this.context,
      transaction: this.transaction,
    });
    if (outcome === undefined) return undefined;
    if (outcome.isLeft()) return this.fail(outcome.extract() as CallerFailure);
    const {context, transaction} = outcome.unsafeCoerce();
    this.context = context;
    if (transaction.kind === 'none') this.endTransaction();
    this.transaction = transaction;
    return {kind: 'done', state: this.state};
  }

  private forwardToMember(
    id: string,
    statement: ForwardedStatement,
    receivedAt: number,
  ): Promise<CallerAnswer> {
    const {transaction} = this;
    return isStarted(transaction)
      ? this.continueTransaction(id, statement, transaction, receivedAt)
      : this.routeStatement(id, statement, transaction, receivedAt);
  }

  /** Routes a single statement, or the first of a transaction. */
  private async routeStatement(
    id: string,
    statement: ForwardedStatement,
    transaction: UnstartedTransaction,
    receivedAt: number,
  ): Promise<CallerAnswer> {
    const {database, organisation} = this.caller;
    const {quota, timer, observer} = this.options;
    const entry = this.catalogue.entryOf(database);
    if (entry === undefined) {
      this.transaction = NO_TRANSACTION;
      return this.fail(this.catalogue.missingEntryFailure(database));
    }
    const terms = entry.terms ?? DEFAULT_TERMS;
    const operation = {organisation, terms, receivedAt};
    const {outcome, refusedByQuota} = await runWithinQuota(
      operation,
      quota,
      timer,
      () => this.route(id, statement, transaction, {...operation, entry}),
    );
    if (refusedByQuota) observer.onQuotaRefusal();
    if (outcome.kind !== 'answered') {
      this.transaction = NO_TRANSACTION;
      return this.fail(toCallerFailure(outcome));
    }
    return this.applyMemberAnswer(
      outcome.answer,
      outcome.handle,
      terms,
      statement,
    );
  }

  private route(
    id: string,
    statement: ForwardedStatement,
    transaction: UnstartedTransaction,
    operation: Pick<RoutedStatement, keyof Operation | 'entry'>,
  ): Promise<RouteOutcome> {
    const opens = opensFor(transaction);
    return this.options.router.route({
      ...operation,
      requestId: id,
      text: statement.text,
      opens,
      values: this.context.values,
      readOnly: opens === 'none' ? statement.readOnly : opens !== 'transaction',
      ownWrite: this.ownWrite,
      isPermitted: () => this.caller.isPermitted(),
    });
  }

  /** Runs the next statement of a transaction that is open on a member. */
  private async continueTransaction(
    id: string,
    statement: ForwardedStatement,
    {handle, terms, kind}: StartedTransaction,
    receivedAt: number,
  ): Promise<CallerAnswer> {
    const elapsedMilliseconds = this.options.timer.now() - receivedAt;
    const result = await handle.continueTransaction({
      kind: 'run',
      requestId: id,
      text: statement.text,
      opens: 'none',
      floor: undefined,
      values: this.context.values,
      timeoutMilliseconds: Math.round(
        terms.statementMilliseconds - elapsedMilliseconds,
      ),
      repeatable: false,
    });
    if (result.kind === 'answered') {
      return this.applyMemberAnswer(result.answer, handle, terms, statement);
    }
    handle.end();
    this.transaction = NO_TRANSACTION;
    const committing = statement.commits && kind === 'open';
    return this.fail(toTransactionFailure(result, committing));
  }

  /** Updates the session with the answer of a member. */
  private applyMemberAnswer(
    answer: StatementAnswer,
    handle: WorkHandle,
    terms: ServiceTerms,
    statement: ForwardedStatement,
  ): CallerAnswer {
    const {transaction} = this;
    const wrote =
      !statement.readOnly || (transaction.kind === 'open' && transaction.wrote);
    const committed = wrote && (statement.commits || answer.state === 'idle');
    const {position, end} = answer;
    if (committed && end.kind === 'complete' && position !== undefined) {
      const at = this.options.timer.now();
      const later = laterPosition(this.ownWrite?.position, position);
      this.ownWrite = {position: later ?? position, at};
    }
    switch (answer.state) {
      case 'idle':
        handle.end();
        this.transaction = NO_TRANSACTION;
        break;
      case 'transaction':
        this.transaction = {kind: 'open', handle, terms, wrote};
        break;
      case 'failed':
        this.transaction = {kind: 'failed', handle, terms};
        break;
    }
    return {kind: 'member', answer, state: this.state};
  }

  private endTransaction(): void {
    const {transaction} = this;
    if (isStarted(transaction)) transaction.handle.end();
  }

  private get terms(): ServiceTerms {
    return this.catalogue.entryOf(this.caller.database)?.terms ?? DEFAULT_TERMS;
  }

  private get state(): SessionState {
    switch (this.transaction.kind) {
      case 'none':
        return 'idle';
      case 'failed':
        return 'failed';
      default:
        return 'transaction';
    }
  }

  /** Refuses a request that could take longer than this VM has to stop. */
  private refuseAtStop(): CallerAnswer {
    const {transaction} = this;
    this.endTransaction();
    this.transaction = NO_TRANSACTION;
    return this.fail(failureAtStop(transaction));
  }

  private fail(failure: CallerFailure): CallerAnswer {
    return {kind: 'failure', failure, state: this.state, position: undefined};
  }
}
