import {Either} from 'purify-ts';
import {Logger} from '@apricotlock/logging';
import {
  ConnectError,
  ConnectionError,
  LogPosition,
  MemberCommand,
  MemberConnector,
  MemberTarget,
  StatementAnswer,
} from '@apricotlock/statement';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {callerCommand, hasFailedBefore, lastOf} from './caller_command.js';
import {ConnectionLimits, ConnectionSet} from './connection_set.js';
import {Symptom} from './lease_messages.js';
import {WorkConnection} from './work_connection.js';
import {
  WorkDown,
  WorkRefusalReason,
  WorkRequest,
  WorkStatement,
} from './work_messages.js';
import {WorkInbox, WorkLink} from './work_inbox.js';
import {WorkQueue} from './work_queue.js';

/** After this long without an answer it is asked whether the member lives. */
const SILENCE_MILLISECONDS = 250;
const PROBE_TIMEOUT_MILLISECONDS = 300;
const UNREACHABLE_RETRY_MILLISECONDS = 200;
const ROLLBACK_TIMEOUT_MILLISECONDS = 500;

/** What the worker of a member needs. */
export interface MemberWorkerOptions {
  readonly target: MemberTarget;
  readonly slots: number;
  readonly connections: ConnectionLimits;
  readonly connector: MemberConnector;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Whether the member may be used in the role that work asks for. */
  readonly mayUse: (primaryTerm: number) => boolean;
  /** Something is wrong with the member. */
  readonly trouble: (symptom: Symptom) => void;
  /** The member has answered. */
  readonly answered: (answer: StatementAnswer) => void;
}

/** Whether the work goes on after a statement. */
type Next = 'goOn' | 'over';

/** Runs callers' statements on one member, over connections of this VM. */
export class MemberWorker {
  private readonly connections: ConnectionSet;
  private readonly queue: WorkQueue<WorkConnection>;
  private reachable = true;
  private usedAt: number;
  private runningStatements = 0;

  private constructor(private readonly options: MemberWorkerOptions) {
    const {target, connector, timer, slots} = options;
    this.usedAt = timer.now();
    this.connections = ConnectionSet.create({
      target,
      connector,
      timer,
      changed: () => this.queue.connectionsChanged(),
      failed: error => this.connectFailed(error),
      opened: () => this.setReachable(true),
    });
    this.queue = WorkQueue.create({
      slots,
      timer,
      take: () => this.connections.take(),
      wanted: count => this.connections.want(count),
    });
    this.connections.setLimits(options.connections);
  }

  /** A worker without connections. */
  static create(options: MemberWorkerOptions): MemberWorker {
    return new MemberWorker(options);
  }

  /** Which member it works on. */
  get target(): MemberTarget {
    return this.options.target;
  }

  /** Statements and transactions that are under way. */
  get busy(): boolean {
    return this.runningStatements > 0 || this.connections.lentCount > 0;
  }

  /** Statements that were sent and not answered yet. */
  get statementsUnderWay(): number {
    return this.runningStatements;
  }

  /** How long new work would wait, in milliseconds. */
  get expectedWaitMilliseconds(): number {
    return this.queue.expectedWaitMilliseconds;
  }

  /** How long nobody has asked for anything, in milliseconds. */
  get unusedMilliseconds(): number {
    return this.busy ? 0 : this.options.timer.now() - this.usedAt;
  }

  /** Takes over how many connections there may be. */
  setConnections(limits: ConnectionLimits): void {
    this.connections.setLimits(limits);
  }

  /** Closes every connection; what is under way on them is lost. */
  close(): void {
    this.connections.close();
    this.queue.refuseAll();
  }

  /** Carries out one statement or one transaction. */
  async serve(request: WorkRequest, channel: WorkLink): Promise<void> {
    const {timer, mayUse} = this.options;
    if (!mayUse(request.primaryTerm)) return this.refuse(channel, 'notHolder');
    this.usedAt = timer.now();
    if (!this.reachable) {
      // A try in the background finds out when that changes.
      this.connections.want(1);
      return this.refuse(channel, 'unreachable');
    }
    const inbox = WorkInbox.over(channel);
    const turn = await this.queue.begin(request, inbox.gone);
    if (turn.isLeft()) {
      const reason = this.reachable ? 'overloaded' : 'unreachable';
      const wait = turn.extract() as {expectedWaitMilliseconds: number};
      return this.refuse(channel, reason, wait.expectedWaitMilliseconds);
    }
    const connection = turn.unsafeCoerce();
    // The lease may have run out while the work waited.
    if (!mayUse(request.primaryTerm)) {
      this.queue.ended(0);
      this.connections.put(connection);
      return this.refuse(channel, 'notHolder');
    }
    await this.work(connection, request, channel, inbox);
  }

  /** Asks the member where its log stands, on a connection of its own. */
  async currentPosition(): Promise<LogPosition | undefined> {
    const {connector, target} = this.options;
    const opened = await connector.connect(target, PROBE_TIMEOUT_MILLISECONDS);
    if (opened.isLeft()) return undefined;
    const connection = opened.unsafeCoerce();
    const report = await connection.report(PROBE_TIMEOUT_MILLISECONDS);
    connection.close();
    const known = report.toMaybe().extract();
    if (known === undefined) return undefined;
    if (known.role === 'primary') return known.received;
    this.options.trouble('notPrimary');
    return undefined;
  }

  private async work(
    connection: WorkConnection,
    request: WorkRequest,
    channel: WorkLink,
    inbox: WorkInbox,
  ): Promise<void> {
    let statement: WorkStatement = request.first;
    for (;;) {
      const next = await this.run(connection, request, statement, channel);
      if (next === 'over') return;
      const following = await inbox.next();
      if (following === undefined) return this.rollBack(connection);
      const slot = await this.queue.goOn(following.timeoutMilliseconds);
      if (slot.isLeft()) {
        const reason = 'no slot in time';
        this.tellLost(channel, {mayHaveRun: false, timedOut: true, reason});
        return this.connections.discard(connection);
      }
      if (!this.options.mayUse(request.primaryTerm)) {
        this.queue.ended(0);
        const reason = 'the primary may not be used any more';
        this.tellLost(channel, {mayHaveRun: false, timedOut: false, reason});
        return this.connections.discard(connection);
      }
      statement = following;
    }
  }

  private async run(
    connection: WorkConnection,
    request: WorkRequest,
    statement: WorkStatement,
    channel: WorkLink,
  ): Promise<Next> {
    const {timer} = this.options;
    const startedAt = timer.now();
    this.runningStatements += 1;
    const outcome = await this.exchange(connection, statement);
    this.runningStatements -= 1;
    this.queue.ended(timer.now() - startedAt);
    if (outcome.isLeft()) {
      const {reason} = outcome.extract() as ConnectionError;
      const spent = timer.now() - startedAt;
      const timedOut = spent >= statement.timeoutMilliseconds;
      this.tellLost(channel, {mayHaveRun: true, timedOut, reason});
      this.connections.discard(connection);
      return 'over';
    }
    const answer = outcome.unsafeCoerce();
    this.options.answered(answer);
    this.noteRefusedRole(request, answer);
    const over = answer.state === 'idle';
    // The connection first: else another would be opened for what waits.
    if (over && !connection.spoilt) this.connections.put(connection);
    else if (over) this.connections.discard(connection);
    const {expectedWaitMilliseconds} = this;
    channel.send({kind: 'answer', answer, expectedWaitMilliseconds});
    return over ? 'over' : 'goOn';
  }

  /** Sends a statement with all that has to go before it. */
  private async exchange(
    connection: WorkConnection,
    statement: WorkStatement,
  ): Promise<Either<ConnectionError, StatementAnswer>> {
    const {member} = connection;
    const {text, opens, floor, timeoutMilliseconds} = statement;
    const values = new Map(statement.values);
    const {commands, after} = connection.prepareFor(values, text);
    connection.became(after);
    const stopWatching = this.watchSilence(connection, statement);
    const own = callerCommand(statement, opens === 'none' ? floor : undefined);
    if (opens === 'none') {
      const answers = await member.run([...commands, own], timeoutMilliseconds);
      stopWatching();
      if (answers.map(hasFailedBefore).orDefault(false)) connection.spoil();
      return answers.map(lastOf);
    }
    const readOnly = opens === 'readOnlyTransaction';
    const begin: MemberCommand = {kind: 'begin', readOnly, floor};
    const begun = await member.run([...commands, begin], timeoutMilliseconds);
    // A statement behind a BEGIN that failed would run outside of it.
    const opened = begun.map(lastOf);
    if (begun.map(hasFailedBefore).orDefault(false)) connection.spoil();
    const answer = opened.toMaybe().extract();
    if (answer?.end.kind !== 'complete') {
      stopWatching();
      return opened;
    }
    const answers = await member.run([own], timeoutMilliseconds);
    stopWatching();
    return answers.map(lastOf);
  }

  /** Ends a transaction that its session has left open. */
  private async rollBack(connection: WorkConnection): Promise<void> {
    const rolledBack = await connection.member.run(
      [{kind: 'rollback'}],
      ROLLBACK_TIMEOUT_MILLISECONDS,
    );
    const answer = rolledBack.map(lastOf).toMaybe().extract();
    if (answer?.state === 'idle') this.connections.put(connection);
    else this.connections.discard(connection);
  }

  /**
   * A statement may be long, or its connection dead. Without an answer for a
   * while the member is asked on a fresh connection.
   */
  private watchSilence(
    connection: WorkConnection,
    statement: WorkStatement,
  ): Unsubscribe {
    let answered = false;
    const stop = this.options.timer.once(SILENCE_MILLISECONDS, () => {
      void this.probe().then(reachable => {
        if (reachable && !answered) this.judgeSilent(connection, statement);
      });
    });
    return () => {
      answered = true;
      stop();
    };
  }

  /** Whether the member takes and answers a fresh connection. */
  private async probe(): Promise<boolean> {
    const {connector, target} = this.options;
    const opened = await connector.connect(target, PROBE_TIMEOUT_MILLISECONDS);
    if (opened.isLeft()) {
      this.connectFailed(opened.extract() as ConnectError);
      return false;
    }
    opened.ifRight(connection => connection.close());
    return true;
  }

  /**
   * The member is there, and still owes an answer. A read is given up, since
   * it can be repeated; a write may wait for its replicas, and goes on.
   */
  private judgeSilent(
    connection: WorkConnection,
    statement: WorkStatement,
  ): void {
    const {timer, logger, target, trouble} = this.options;
    logger.warn('a connection to the member is silent', {
      request: statement.requestId,
      member: target.name,
      connectionAge: Math.round(timer.now() - connection.openedAt),
      repeatable: statement.repeatable,
    });
    if (statement.repeatable) {
      connection.member.close();
      void this.connections.checkIdle();
    } else {
      trouble('commitsStall');
    }
  }

  private connectFailed(error: ConnectError): void {
    const {logger, target, trouble} = this.options;
    logger.warn('no connection to the member', {
      member: target.name,
      database: target.database,
      failure: error.kind,
      reason: error.reason,
    });
    if (error.kind === 'tooManyConnections') return;
    this.setReachable(false);
    trouble(symptomOf(error));
  }

  /** What waits for a member that can't be reached is better off elsewhere. */
  private setReachable(reachable: boolean): void {
    const {logger, target} = this.options;
    if (this.reachable !== reachable) {
      const {name: member, database} = target;
      logger.info(reachable ? 'reached a member' : 'lost a member', {
        member,
        database,
      });
    }
    this.reachable = reachable;
    if (!reachable) {
      this.queue.refuseAll();
      this.connections.closeAll();
    }
  }

  private noteRefusedRole(
    {primaryTerm}: WorkRequest,
    {end}: StatementAnswer,
  ): void {
    const refused = end.kind === 'error' && end.error.kind === 'readOnly';
    if (primaryTerm > 0 && refused) this.options.trouble('notPrimary');
  }

  private refuse(
    channel: WorkLink,
    reason: WorkRefusalReason,
    retryAfterMilliseconds = UNREACHABLE_RETRY_MILLISECONDS,
  ): void {
    channel.send({kind: 'refused', refusal: {reason, retryAfterMilliseconds}});
  }

  private tellLost(
    channel: WorkLink,
    loss: Omit<Extract<WorkDown, {kind: 'lost'}>, 'kind'>,
  ): void {
    channel.send({kind: 'lost', ...loss});
  }
}

function symptomOf({kind}: ConnectError): Symptom {
  if (kind === 'refused' || kind === 'otherMember') return kind;
  return 'silent';
}
