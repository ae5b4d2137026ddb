import {Either} from 'purify-ts';
import {Observable, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {
  CallerAnswer,
  CallerFailure,
  CallerLink,
  CallerRequest,
  laterPosition,
  SessionState,
  Statement,
  StatementAnswer,
} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, Consistency, ServiceTerms} from '@apricotlock/topology';
import {failureOf, lossOf} from './caller_failure.js';
import {Forwarded, SessionContext} from './session_context.js';
import {StatementRouter} from './statement_router.js';
import {CatalogueLookup} from './catalogue_lookup.js';
import {OwnWrite} from './routed_statement.js';
import {SessionObserver} from './session_observer.js';
import {
  NO_TRANSACTION,
  opensFor,
  SessionTransaction,
} from './session_transaction.js';
import {WorkHolder} from './work_holder.js';

/** How long a caller waits for a VM that knows nothing yet. */
/** The terms of an entry that states none. */
/** A caller that has connected says by then what it wants. */
const START_UP_MILLISECONDS = 5_000;
const DEFAULT_TERMS: ServiceTerms = {
  consistency: 'primary',
  statementMilliseconds: 30_000,
  priority: 0,
};

/** What a session needs. */
export interface StatementSessionOptions {
  readonly link: CallerLink;
  readonly view: Observable<ClusterView>;
  readonly router: StatementRouter;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly observer: SessionObserver;
}

/** One caller's session, from its first message to its last. */
export class StatementSession {
  private database = '';
  private context = SessionContext.EMPTY;
  private transaction: SessionTransaction = NO_TRANSACTION;
  private ownWrite: OwnWrite | undefined;
  private answering = false;
  /** Whether the last transaction was ended behind the caller's back. */
  private idleEnded = false;
  private draining = false;

  /** When the caller connected, on the timer's clock. */
  readonly begunAt: number;
  private readonly catalogue: CatalogueLookup;

  private constructor(private readonly options: StatementSessionOptions) {
    this.begunAt = options.timer.now();
    this.catalogue = CatalogueLookup.of(options.view, options.timer);
  }

  /** A session that has not begun. */
  static create(options: StatementSessionOptions): StatementSession {
    return new StatementSession(options);
  }

  /** Whether a request or a transaction is under way. */
  get busy(): boolean {
    return this.answering || this.transaction.kind !== 'none';
  }

  /** Serves the caller until it goes. */
  async run(): Promise<void> {
    const {link, timer} = this.options;
    const database = await withTimeout(
      timer,
      START_UP_MILLISECONDS,
      link.start(),
    );
    // Connections that say nothing would use up this VM's descriptors.
    if (database === undefined || database === TIMED_OUT) return link.close();
    await this.catalogue.untilKnown();
    if (this.catalogue.lacks(database)) {
      this.options.observer.failed('unknownDatabase');
      this.options.logger.info('no such database', {
        database,
        catalogue: this.options.view.current.catalogue.version,
      });
      return link.reject({kind: 'unknownDatabase', database});
    }
    this.database = database;
    link.accept();
    await this.serve();
    this.endTransaction();
    link.close();
  }

  /** Ends the session as soon as nothing is under way. */
  drain(): void {
    this.draining = true;
    if (!this.busy) this.options.link.close();
  }

  private async serve(): Promise<void> {
    for (;;) {
      const request = await this.nextRequest();
      if (request === undefined) return;
      this.answering = true;
      const receivedAt = this.options.timer.now();
      const answer = await this.answerTo(request, receivedAt);
      this.note(request, answer, receivedAt);
      this.options.link.answer(answer);
      this.answering = false;
      if (this.draining && !this.busy) return;
    }
  }

  /** The next request; ends a transaction that stays idle for too long. */
  private async nextRequest(): Promise<CallerRequest | undefined> {
    const {link, timer} = this.options;
    const request = link.receive();
    const limit = this.idleLimit();
    if (limit === undefined) return request;
    const inTime = await withTimeout(timer, limit, request);
    if (inTime !== TIMED_OUT) return inTime;
    this.options.logger.info('ending an idle transaction', {idle: limit});
    this.endTransaction();
    this.transaction = NO_TRANSACTION;
    this.idleEnded = true;
    return request;
  }

  private idleLimit(): number | undefined {
    const {transaction} = this;
    if (transaction.kind !== 'open' && transaction.kind !== 'failed') {
      return undefined;
    }
    return transaction.terms.idleTransactionMilliseconds;
  }

  private async answerTo(
    {id, statement}: CallerRequest,
    receivedAt: number,
  ): Promise<CallerAnswer> {
    if (this.idleEnded) {
      this.idleEnded = false;
      return this.fail({
        kind: 'rolledBack',
        reason: 'the transaction was idle for too long',
      });
    }
    if (statement.isLeft()) {
      return this.fail({
        kind: 'malformed',
        reason: statement.extract() as string,
      });
    }
    const wanted = statement.unsafeCoerce();
    const local = this.answerHere(wanted);
    if (local !== undefined) return local;
    const forwarded = this.context.forwarded(wanted);
    return forwarded.isLeft()
      ? this.fail(forwarded.extract() as CallerFailure)
      : this.forward(id, forwarded.unsafeCoerce(), receivedAt);
  }

  /** The answer to what needs no member. */
  private answerHere(statement: Statement): CallerAnswer | undefined {
    const failed = this.transaction.kind === 'failed';
    const ends = statement.kind === 'commit' || statement.kind === 'rollback';
    if (failed && !ends) {
      const reason = 'the transaction has failed and must be ended';
      return this.fail({kind: 'malformed', reason});
    }
    switch (statement.kind) {
      case 'setValue':
        return this.change(
          this.context.withValue(statement.name, statement.value),
        );
      case 'prepare':
        return this.change(
          this.context.withPrepared(statement.name, statement.prepared),
        );
      case 'deallocate':
        return this.change(this.context.without(statement.name));
      case 'begin':
        return this.begin(statement.readOnly);
      case 'rollback':
        this.endTransaction();
        this.transaction = NO_TRANSACTION;
        return this.done();
      case 'commit':
        if (this.transaction.kind !== 'none') return undefined;
        return this.fail({kind: 'malformed', reason: 'no transaction is open'});
      default:
        return undefined;
    }
  }

  private change(changed: Either<CallerFailure, SessionContext>): CallerAnswer {
    return changed.caseOf({
      Left: failure => this.fail(failure),
      Right: context => {
        this.context = context;
        return this.done();
      },
    });
  }

  private begin(readOnly: boolean): CallerAnswer {
    if (this.transaction.kind !== 'none') {
      return this.fail({
        kind: 'malformed',
        reason: 'a transaction is open already',
      });
    }
    this.transaction = {kind: 'begun', readOnly};
    return this.done();
  }

  private forward(
    id: string,
    statement: Forwarded,
    receivedAt: number,
  ): Promise<CallerAnswer> {
    const {transaction} = this;
    return transaction.kind === 'open' || transaction.kind === 'failed'
      ? this.goOn(id, statement, transaction, receivedAt)
      : this.start(id, statement, transaction, receivedAt);
  }

  /** A statement by itself, or the first of a transaction. */
  private async start(
    id: string,
    statement: Forwarded,
    transaction: Extract<SessionTransaction, {kind: 'none' | 'begun'}>,
    receivedAt: number,
  ): Promise<CallerAnswer> {
    const {database} = this;
    const entry = this.catalogue.entryOf(database);
    if (entry === undefined) {
      this.transaction = NO_TRANSACTION;
      return this.fail(this.catalogue.missing(database));
    }
    const terms = entry.terms ?? DEFAULT_TERMS;
    const opens = opensFor(transaction);
    const outcome = await this.options.router.route({
      requestId: id,
      text: statement.text,
      opens,
      values: this.context.values,
      readOnly: opens === 'none' ? statement.readOnly : opens !== 'transaction',
      entry,
      terms,
      receivedAt,
      ownWrite: this.ownWrite,
    });
    if (outcome.kind !== 'answered') {
      this.transaction = NO_TRANSACTION;
      return this.fail(failureOf(outcome));
    }
    return this.take(outcome.answer, outcome.holder, terms, statement);
  }

  /** The next statement of a transaction that a member has. */
  private async goOn(
    id: string,
    statement: Forwarded,
    {
      holder,
      terms,
      kind,
    }: Extract<SessionTransaction, {kind: 'open' | 'failed'}>,
    receivedAt: number,
  ): Promise<CallerAnswer> {
    const spent = this.options.timer.now() - receivedAt;
    const result = await holder.goOn({
      kind: 'run',
      requestId: id,
      text: statement.text,
      opens: 'none',
      floor: undefined,
      values: this.context.values,
      timeoutMilliseconds: Math.round(terms.statementMilliseconds - spent),
      repeatable: false,
    });
    if (result.kind === 'answered') {
      return this.take(result.answer, holder, terms, statement);
    }
    holder.end();
    this.transaction = NO_TRANSACTION;
    const committing = statement.commits && kind === 'open';
    return this.fail(lossOf(result, committing));
  }

  /** Takes a member's answer into the session. */
  private take(
    answer: StatementAnswer,
    holder: WorkHolder,
    terms: ServiceTerms,
    statement: Forwarded,
  ): CallerAnswer {
    const {transaction} = this;
    const wrote =
      !statement.readOnly || (transaction.kind === 'open' && transaction.wrote);
    const changed = wrote && (statement.commits || answer.state === 'idle');
    const {position, end} = answer;
    if (changed && end.kind === 'complete' && position !== undefined) {
      const at = this.options.timer.now();
      const later = laterPosition(this.ownWrite?.position, position);
      this.ownWrite = {position: later ?? position, at};
    }
    switch (answer.state) {
      case 'idle':
        holder.end();
        this.transaction = NO_TRANSACTION;
        break;
      case 'transaction':
        this.transaction = {kind: 'open', holder, terms, wrote};
        break;
      case 'failed':
        this.transaction = {kind: 'failed', holder, terms};
        break;
    }
    return {kind: 'member', answer, state: this.state};
  }

  private endTransaction(): void {
    const {transaction} = this;
    if (transaction.kind === 'open' || transaction.kind === 'failed') {
      transaction.holder.end();
    }
  }

  private get consistency(): Consistency {
    const terms = this.catalogue.entryOf(this.database)?.terms ?? DEFAULT_TERMS;
    return terms.consistency;
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

  private done(): CallerAnswer {
    return {kind: 'done', state: this.state};
  }

  private fail(failure: CallerFailure): CallerAnswer {
    return {kind: 'failure', failure, state: this.state, position: undefined};
  }

  private note(
    {id}: CallerRequest,
    answer: CallerAnswer,
    receivedAt: number,
  ): void {
    const {observer, logger, timer} = this.options;
    const spent = timer.now() - receivedAt;
    const entry = this.database;
    if (answer.kind !== 'failure') {
      if (answer.kind === 'member') observer.answered(this.consistency, spent);
      return;
    }
    const {failure} = answer;
    observer.failed(failure.kind);
    logger.info('failed', {
      request: id,
      entry,
      outcome: failure.kind,
      reason: 'reason' in failure ? failure.reason : undefined,
      spent: Math.round(spent),
      view: this.options.view.current.index,
    });
  }
}
