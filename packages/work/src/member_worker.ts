import {Logger} from '@apricotlock/logging';
import {
  AnswerEnd,
  ConnectionError,
  LogPosition,
  MemberConnector,
  MemberTarget,
  StatementAnswer,
  wasNotRun,
} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {ConnectionLimits} from './connection_limits.js';
import {ConnectionPool} from './connection_pool.js';
import {Symptom} from './lease_messages.js';
import {logMemberLoad, MemberLoad} from './member_load.js';
import {MemberReachability} from './member_reachability.js';
import {OpenTransactions} from './open_transactions.js';
import {StatementRunner} from './statement_runner.js';
import {StatementWindow} from './statement_window.js';
import {WorkConnection} from './work_connection.js';
import {
  WorkServerMessage,
  WorkRefusalReason,
  WorkRequest,
  WorkStatement,
} from './work_messages.js';
import {WorkInbox, WorkServerChannel} from './work_inbox.js';
import {WorkObserver} from './work_observer.js';
import {WorkQueue} from './work_queue.js';
import {WriteAdmission} from './write_admission.js';

const REPORT_TIMEOUT_MILLISECONDS = 300;
const UNREACHABLE_RETRY_MILLISECONDS = 200;

/** Options of a member worker. */
export interface MemberWorkerOptions {
  readonly target: MemberTarget;
  readonly slots: number;
  readonly connections: ConnectionLimits;
  readonly connector: MemberConnector;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly observer: WorkObserver;
  /**
   * Returns whether this VM may run work that requires the primary of a term; a
   * term of 0 allows any role.
   */
  readonly mayUse: (primaryTerm: number) => boolean;
  /** Returns whether the member accepts new work in any role. */
  readonly acceptsNewWork: () => boolean;
  /** Called when work begins on the member. */
  readonly onBegun: (request: WorkRequest) => void;
  /** Called when the member shows a symptom of a failure. */
  readonly onSymptom: (symptom: Symptom) => void;
  /** Called with each answer of the member to a statement. */
  readonly onAnswer: (answer: StatementAnswer) => void;
}

/** Whether a transaction is still open after a statement. */
type WorkProgress = 'continue' | 'finished';

/** Work that has been admitted and has a connection. */
interface ActiveWork {
  readonly connection: WorkConnection;
  readonly request: WorkRequest;
  readonly channel: WorkServerChannel;
  readonly inbox: WorkInbox;
}

/** Runs callers' statements on one member, on connections of this VM. */
export class MemberWorker {
  private readonly connections: ConnectionPool;
  private readonly queue: WorkQueue<WorkConnection>;
  private readonly statements: StatementRunner;
  private readonly transactions: OpenTransactions;
  private readonly writes: WriteAdmission;
  private readonly reachability: MemberReachability;
  private readonly load: MemberLoad;
  private readonly window: StatementWindow;
  private lastUsedAt: number;
  private lastOrganisation: string | undefined;
  private runningCount = 0;
  /** The work that has a connection. */
  private readonly active = new Set<WorkRequest>();

  private constructor(private readonly options: MemberWorkerOptions) {
    const {target, connector, timer, slots} = options;
    this.lastUsedAt = timer.now();
    this.load = MemberLoad.create(timer);
    this.window = StatementWindow.create({slots, timer});
    this.reachability = MemberReachability.create({
      ...options,
      onUnreachable: () => this.handleUnreachable(),
    });
    this.connections = ConnectionPool.create({
      target,
      connector,
      timer,
      onAvailable: () => this.queue.notifyConnectionAvailable(),
      onConnectError: (error, organisation) =>
        this.reachability.recordFailure(error, organisation),
      slots,
      onOpened: () => {
        options.observer.onConnectionEvent('opened');
        this.load.recordOpened();
        this.reachability.recordOpened();
      },
      onReplaced: connection => this.recordReplaced(connection),
      onBlocked: () => this.transactions.endIdle(),
    });
    this.transactions = OpenTransactions.create({
      ...options,
      connections: this.connections,
    });
    this.queue = WorkQueue.create({
      slots,
      timer,
      takeConnection: organisation => this.connections.checkOut(organisation),
      requestConnections: (demands, meanMilliseconds) =>
        this.connections.requestConnections(demands, meanMilliseconds),
    });
    this.writes = WriteAdmission.create({slots, timer});
    this.statements = StatementRunner.create({
      ...options,
      onSymptom: symptom => {
        if (symptom === 'commitsStall') this.writes.recordStall();
        options.onSymptom(symptom);
      },
      probe: () => this.reachability.probe(),
      onDeadConnection: () => void this.connections.checkIdle(),
      onRoundTrip: milliseconds => {
        this.load.recordRoundTrip(milliseconds);
        this.window.recordRoundTrip(milliseconds);
      },
    });
    this.connections.setLimits(options.connections);
  }

  /** Creates a worker, which opens its warm connections at once. */
  static create(options: MemberWorkerOptions): MemberWorker {
    return new MemberWorker(options);
  }

  /** The member on which this worker runs statements. */
  get target(): MemberTarget {
    return this.options.target;
  }

  /** Whether a statement or transaction is in progress. */
  get busy(): boolean {
    return this.runningCount > 0 || this.connections.checkedOutCount > 0;
  }

  /** Returns how many transactions are open that need the lease of a term. */
  countTransactions(term: number): number {
    return this.workOf(term).filter(({first}) => first.opens !== 'none').length;
  }

  /** Whether a statement or transaction that needs the lease of a term runs. */
  isBusyIn(term: number): boolean {
    return this.workOf(term).length > 0;
  }

  private workOf(term: number): readonly WorkRequest[] {
    return [...this.active].filter(({primaryTerm}) => primaryTerm === term);
  }

  /** The number of statements that were sent but not answered yet. */
  get runningStatementCount(): number {
    return this.runningCount;
  }

  /** The expected wait of new work, in milliseconds. */
  get expectedWaitMilliseconds(): number {
    return this.queue.expectedWaitOf();
  }

  /** The time since the last work request, in milliseconds; 0 while busy. */
  get unusedMilliseconds(): number {
    return this.busy ? 0 : this.options.timer.now() - this.lastUsedAt;
  }

  /** Logs what the queue did since the last call, if it did anything. */
  logLoad(): void {
    const {target, slots, logger} = this.options;
    logMemberLoad(logger, this.load.endPeriod(), {
      member: target.name,
      database: target.database,
      slots,
      window: this.window.size,
      waiting: this.queue.waitingCount,
      connections: this.connections.count,
    });
  }

  /** Sets the limits of the connection pool. */
  setConnections(limits: ConnectionLimits): void {
    this.connections.setLimits(limits);
  }

  /**
   * Closes all connections and refuses queued work. Statements and transactions
   * in progress are lost.
   */
  close(): void {
    this.connections.close();
    this.queue.refuseQueuedWork();
  }

  /**
   * Runs one statement or one transaction and sends the answers, a refusal or a
   * loss over the channel. Resolves when the work has ended.
   */
  async serve(request: WorkRequest, channel: WorkServerChannel): Promise<void> {
    const obstacle = this.obstacleTo(request);
    if (obstacle !== undefined) return this.refuse(channel, obstacle);
    const {timer} = this.options;
    const since = timer.now();
    this.lastUsedAt = since;
    this.lastOrganisation = request.organisation;
    const {waitMilliseconds} = request;
    if (!(await this.writes.acquire(request, waitMilliseconds))) {
      return this.refuse(channel, 'commitsStall');
    }
    if (!this.reachability.isReachable) {
      this.writes.release(request);
      // A connection opened in the background detects recovery.
      this.requestRecovery();
      return this.refuse(channel, 'unreachable');
    }
    const inbox = WorkInbox.create(channel);
    const remainingMilliseconds = waitMilliseconds - (timer.now() - since);
    const admission = await this.queue.acquireSlotAndConnection(
      {...request, waitMilliseconds: remainingMilliseconds},
      inbox.abandoned,
    );
    if (admission.isLeft()) {
      this.writes.release(request);
      const reason = this.reachability.isReachable
        ? 'overloaded'
        : 'unreachable';
      const refusal = admission.extract() as {expectedWaitMilliseconds: number};
      return this.refuse(channel, reason, refusal.expectedWaitMilliseconds);
    }
    const connection = admission.unsafeCoerce();
    this.load.recordStart(timer.now() - since);
    // The lease may have expired, or the member have announced that it is
    // draining, while the work was queued.
    const laterObstacle = this.obstacleTo(request);
    if (laterObstacle !== undefined) {
      this.writes.release(request);
      this.queue.releaseSlot(0);
      this.connections.checkIn(connection);
      return this.refuse(channel, laterObstacle);
    }
    this.active.add(request);
    try {
      await this.runWork({connection, request, channel, inbox});
    } finally {
      this.active.delete(request);
    }
  }

  /**
   * Requests the log position of the primary on a separate connection. Resolves
   * to `undefined` if the member does not answer or is not the primary.
   */
  async currentPosition(): Promise<LogPosition | undefined> {
    const {connector, target} = this.options;
    const opened = await connector.connect(target, REPORT_TIMEOUT_MILLISECONDS);
    if (opened.isLeft()) return undefined;
    const connection = opened.unsafeCoerce();
    const report = await connection.report(REPORT_TIMEOUT_MILLISECONDS);
    connection.close();
    const memberReport = report.toMaybe().extract();
    if (memberReport === undefined) return undefined;
    if (memberReport.role === 'primary') return memberReport.received;
    this.options.onSymptom('notPrimary');
    return undefined;
  }

  /** Returns why new work may not begin; `undefined` if it may. */
  private obstacleTo({
    primaryTerm,
  }: WorkRequest): WorkRefusalReason | undefined {
    const {mayUse, acceptsNewWork} = this.options;
    if (!mayUse(primaryTerm)) return 'notHolder';
    // A lease limits by itself for how long a draining primary is used.
    return primaryTerm > 0 || acceptsNewWork() ? undefined : 'draining';
  }

  private async runWork(work: ActiveWork): Promise<void> {
    const {connection, request} = work;
    this.options.onBegun(request);
    connection.isInTransaction = request.first.opens !== 'none';
    let statement: WorkStatement = request.first;
    for (;;) {
      const progress = await this.runStatement(work, statement);
      if (progress === 'finished') return;
      const next = await this.receiveNext(work, statement.requestId);
      if (next === undefined || !(await this.admitNext(work, next))) return;
      statement = next;
    }
  }

  /**
   * Resolves to the next statement of a transaction, which is idle until then;
   * to `undefined` once the transaction has ended without one.
   */
  private async receiveNext(
    {connection, channel, inbox}: ActiveWork,
    requestId: string,
  ): Promise<WorkStatement | undefined> {
    const idle = this.transactions.startIdle(connection, requestId);
    const next = await inbox.receiveStatement();
    if (this.transactions.stopIdle(idle)) {
      if (next === undefined) await this.transactions.rollBack(connection);
      return next;
    }
    if (next !== undefined) {
      const reason = 'the idle transaction was ended for waiting work';
      this.sendLost(channel, {mayHaveRun: false, timedOut: false, reason});
    }
    return undefined;
  }

  /**
   * Waits for a slot for the next statement of a transaction. Resolves to
   * `false`, with the transaction lost, if the statement may not run.
   */
  private async admitNext(
    {connection, request, channel}: ActiveWork,
    next: WorkStatement,
  ): Promise<boolean> {
    const {timer} = this.options;
    const since = timer.now();
    const deadline = since + next.timeoutMilliseconds;
    const hasWriteSlot = await this.writes.acquire(
      request,
      next.timeoutMilliseconds,
    );
    const slot = hasWriteSlot
      ? await this.queue.acquireTransactionSlot(deadline - timer.now(), request)
      : undefined;
    if (slot === undefined || slot.isLeft()) {
      if (hasWriteSlot) this.writes.release(request);
      const reason = 'no slot became free within the statement timeout';
      this.sendLost(channel, {mayHaveRun: false, timedOut: true, reason});
      this.connections.discard(connection);
      return false;
    }
    this.load.recordStart(timer.now() - since);
    if (!this.options.mayUse(request.primaryTerm)) {
      this.writes.release(request);
      this.queue.releaseSlot(0);
      const reason = 'this VM no longer holds the primary lease';
      this.sendLost(channel, {mayHaveRun: false, timedOut: false, reason});
      this.connections.discard(connection);
      return false;
    }
    return true;
  }

  private async runStatement(
    {connection, request, channel}: ActiveWork,
    statement: WorkStatement,
  ): Promise<WorkProgress> {
    const {timer} = this.options;
    const startedAt = timer.now();
    this.runningCount += 1;
    const outcome = await this.statements.run(connection, statement);
    this.runningCount -= 1;
    this.writes.release(request);
    const heldMilliseconds = timer.now() - startedAt;
    this.load.recordEnd(heldMilliseconds);
    outcome.ifRight(({end}) => this.updateWindow(end, heldMilliseconds));
    const releaseSlot = () => this.queue.releaseSlot(heldMilliseconds);
    // With organisations, the connection is returned first, so that the next
    // work of its organisation does not lose its turn to later work.
    const returnsFirst = this.connections.servesOrganisations;
    if (!returnsFirst) releaseSlot();
    if (outcome.isLeft()) {
      const {reason} = outcome.extract() as ConnectionError;
      const timedOut = heldMilliseconds >= statement.timeoutMilliseconds;
      this.sendLost(channel, {mayHaveRun: true, timedOut, reason});
      this.connections.discard(connection);
      if (returnsFirst) releaseSlot();
      return 'finished';
    }
    const answer = outcome.unsafeCoerce();
    this.options.onAnswer(answer);
    this.reportIfNotPrimary(request, answer);
    this.writes.recordAnswer(request, answer);
    const isIdle = answer.state === 'idle';
    // The connection is returned before the answer is sent. Otherwise another
    // connection would be opened for queued work.
    if (isIdle && !connection.isTainted) this.connections.checkIn(connection);
    else if (isIdle) this.connections.discard(connection);
    if (returnsFirst) releaseSlot();
    const expectedWaitMilliseconds = this.queue.expectedWaitOf(request);
    channel.send({kind: 'answer', answer, expectedWaitMilliseconds});
    return isIdle ? 'finished' : 'continue';
  }

  /** Updates how many statements may be under way, after one was answered. */
  private updateWindow(end: AnswerEnd, heldMilliseconds: number): void {
    if (end.kind === 'error' && wasNotRun(end.error)) {
      if (end.error.kind === 'busy') this.window.recordShed();
    } else {
      this.window.recordStatement(heldMilliseconds);
    }
    this.queue.setSlots(this.window.size);
  }

  private recordReplaced({organisation, openedAt}: WorkConnection): void {
    const {timer, logger, target, observer} = this.options;
    observer.onConnectionEvent('replaced');
    logger.debug('closed a connection for another organisation', {
      member: target.name,
      organisation,
      connectionAge: Math.round(timer.now() - openedAt),
    });
  }

  /**
   * Refuses queued work, so that it can be run elsewhere, and closes all
   * connections.
   */
  private handleUnreachable(): void {
    this.queue.refuseQueuedWork();
    this.connections.closeAll();
    // Without organisations, the pool opens warm connections again by itself.
    if (this.connections.servesOrganisations) this.requestRecovery();
  }

  /** Requests a connection, whose opening detects that the member recovered. */
  private requestRecovery(): void {
    const organisation = this.lastOrganisation;
    const demand = {organisation, waiting: 1, since: this.options.timer.now()};
    const mean = this.queue.meanStatementMilliseconds;
    this.connections.requestConnections([demand], mean);
  }

  private reportIfNotPrimary(
    {primaryTerm}: WorkRequest,
    {end}: StatementAnswer,
  ): void {
    const refused = end.kind === 'error' && end.error.kind === 'readOnly';
    if (primaryTerm > 0 && refused) this.options.onSymptom('notPrimary');
  }

  private refuse(
    channel: WorkServerChannel,
    reason: WorkRefusalReason,
    retryAfterMilliseconds = UNREACHABLE_RETRY_MILLISECONDS,
  ): void {
    this.options.observer.onRefusal(reason);
    this.load.recordRefusal();
    channel.send({kind: 'refused', refusal: {reason, retryAfterMilliseconds}});
  }

  private sendLost(
    channel: WorkServerChannel,
    loss: Omit<Extract<WorkServerMessage, {kind: 'lost'}>, 'kind'>,
  ): void {
    channel.send({kind: 'lost', ...loss});
  }
}
