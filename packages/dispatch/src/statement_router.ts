import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {wasNotRun} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, DatabaseGroup, findGroup} from '@apricotlock/topology';
import {
  after,
  Attempt,
  gaveUp,
  leastBusy,
  Next,
  next,
  RouteOutcome,
} from './attempt.js';
import {FreshnessKeeper} from './freshness_keeper.js';
import {MemberStandings} from './member_standing.js';
import {
  appointmentPatience,
  Missing,
  objectiveLeft,
  Patience,
  queueMilliseconds,
} from './patience.js';
import {ReadNeeds, readOrder} from './read_order.js';
import {retryPause} from './retry_pause.js';
import {
  Choice,
  isRepeatable,
  RoutedStatement,
  strictest,
  workRequest,
} from './routed_statement.js';
import {WorkGate} from './work_gate.js';
import {WorkHolder, WorkResult} from './work_holder.js';

/** Evidence this much younger than needed makes up for timers that fire late. */
const AGE_MARGIN_MILLISECONDS = 40;
/** How long a read waits to learn how far the primary is. */
const EVIDENCE_WAIT_MILLISECONDS = 250;
/** A read without an answer for so long is tried on another member. */
const READ_ATTEMPT_MILLISECONDS = 450;
/** Below this there is no time for another attempt. */
const MINIMUM_ATTEMPT_MILLISECONDS = 10;

/** What routing needs. */
export interface StatementRouterOptions {
  readonly dataCentre: string;
  readonly view: Observable<ClusterView>;
  readonly gate: WorkGate;
  readonly freshness: FreshnessKeeper;
  /** Whether this VM seems cut off from the others. */
  readonly cutOff: () => boolean;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/** Finds the member that runs a statement, or the first of a transaction. */
export class StatementRouter {
  private readonly standings: MemberStandings;
  /** Since when this VM knows of no primary, by database. */
  private readonly missingSince = new Map<string, number>();

  private constructor(private readonly options: StatementRouterOptions) {
    this.standings = MemberStandings.create(options.timer);
    this.noteMissing(options.view.current);
    options.view.subscribe(view => this.noteMissing(view));
  }

  /** A router for the callers of one VM. */
  static create(options: StatementRouterOptions): StatementRouter {
    return new StatementRouter(options);
  }

  /** Runs a statement on a member that may, waiting for one as long as useful. */
  async route(statement: RoutedStatement): Promise<RouteOutcome> {
    const anyMember =
      statement.readOnly && statement.terms.consistency !== 'primary';
    return anyMember ? this.read(statement) : this.onPrimary(statement);
  }

  /** Tries the primary until it answers or there is no time left. */
  private onPrimary(statement: RoutedStatement): Promise<RouteOutcome> {
    const patience = this.patienceWith(statement);
    return this.insist(statement, patience, () => this.tryPrimary(statement));
  }

  private patienceWith({terms, entry}: RoutedStatement): Patience {
    return appointmentPatience(terms, this.missing(entry.database));
  }

  /** Makes attempts until one succeeds or the statement has waited enough. */
  private async insist(
    {receivedAt}: RoutedStatement,
    {holdMilliseconds, retryAfterMilliseconds}: Patience,
    attemptOnce: () => Promise<Attempt>,
  ): Promise<RouteOutcome> {
    const {timer} = this.options;
    const deadline = receivedAt + holdMilliseconds;
    let last: Next | undefined;
    for (let attempts = 1; ; attempts++) {
      const attempt = await attemptOnce();
      if (attempt.kind !== 'next') return attempt;
      last = after(last, attempt);
      const left = deadline - timer.now();
      if (left < MINIMUM_ATTEMPT_MILLISECONDS) {
        return gaveUp(last, retryAfterMilliseconds);
      }
      const {expectedWaitMilliseconds} = attempt;
      const pause = retryPause({attempts, expectedWaitMilliseconds});
      await timer.sleep(Math.min(left, pause));
    }
  }

  private async tryPrimary(statement: RoutedStatement): Promise<Attempt> {
    const group = this.groupOf(statement);
    if (group?.primary === undefined) {
      return next('the database has no primary now');
    }
    const primaryTerm = group.term;
    return this.attempt(statement, group, {
      member: group.primary,
      primaryTerm,
      floor: undefined,
      repeatable: isRepeatable(statement),
      timeoutMilliseconds: this.timeLeft(statement),
      waitMilliseconds: queueMilliseconds(statement.terms),
    });
  }

  /** Tries members in order of what they promise, until one can. */
  private read(statement: RoutedStatement): Promise<RouteOutcome> {
    const patience = this.patienceWith(statement);
    return this.insist(statement, patience, () => this.tryRead(statement));
  }

  private async tryRead(statement: RoutedStatement): Promise<Attempt> {
    const needs = await this.needsOf(statement);
    if (needs === undefined) {
      return next('nobody can say how far the primary is');
    }
    const group = this.groupOf(statement);
    if (group === undefined) return next('the database is not known yet');
    return this.tryMembers(statement, group, needs);
  }

  /**
   * Tries members, first for an answer in time. Only where none has room for
   * that does the statement wait behind others, and is late.
   */
  private async tryMembers(
    statement: RoutedStatement,
    group: DatabaseGroup,
    needs: ReadNeeds,
  ): Promise<Attempt> {
    const inTime = this.objectiveLeft(statement);
    const longest = queueMilliseconds(statement.terms);
    const waits = inTime > 0 ? [Math.min(inTime, longest), longest] : [longest];
    let last: Next | undefined;
    for (const wait of waits) {
      const attempt = await this.tryEach(statement, group, needs, wait);
      if (attempt.kind !== 'next') return attempt;
      last = after(last, attempt);
      if (last.expectedWaitMilliseconds === undefined) return last;
    }
    return last ?? next('the statement has no time left');
  }

  private async tryEach(
    statement: RoutedStatement,
    group: DatabaseGroup,
    needs: ReadNeeds,
    waitMilliseconds: number,
  ): Promise<Attempt> {
    const {dataCentre} = this.options;
    const order = readOrder(group, dataCentre, needs, this.standings);
    let last = next('the database has no member that takes work');
    for (const {name} of order) {
      const left = this.timeLeft(statement);
      if (left < MINIMUM_ATTEMPT_MILLISECONDS) break;
      const attempt = await this.attempt(statement, group, {
        member: name,
        primaryTerm: 0,
        floor: needs.floor,
        floorAgeMilliseconds: needs.floorAgeMilliseconds,
        repeatable: isRepeatable(statement),
        timeoutMilliseconds: Math.min(left, READ_ATTEMPT_MILLISECONDS),
        waitMilliseconds,
      });
      if (attempt.kind !== 'next') return attempt;
      last = leastBusy(last, after(last, attempt));
    }
    return last;
  }

  /** One try on one member. */
  private async attempt(
    statement: RoutedStatement,
    group: DatabaseGroup,
    choice: Choice,
  ): Promise<Attempt> {
    const {gate, timer} = this.options;
    const objective = this.objectiveLeft(statement);
    const request = workRequest(statement, choice, objective);
    const work = gate.open(group, request);
    if (work === undefined) return next('no VM can reach the member now');
    const holder = WorkHolder.of(work, gate, timer);
    const {timeoutMilliseconds, repeatable} = choice;
    const result = await holder.result(timeoutMilliseconds, repeatable);
    this.logAttempt(statement, choice, result, holder);
    if (result.kind === 'answered') {
      return this.judgeAnswer(choice, result, holder);
    }
    holder.end();
    if (result.kind === 'refused') {
      return this.judgeRefusal(choice, result, holder);
    }
    const {mayHaveRun, timedOut, reason} = result;
    // A VM that is lost says nothing of the member.
    if (!timedOut) this.standings.failed(choice.member);
    if (!mayHaveRun || choice.repeatable) return next(reason, mayHaveRun);
    return {kind: 'unknown', timedOut, reason};
  }

  private judgeAnswer(
    choice: Choice,
    {answer, expectedWaitMilliseconds}: Extract<WorkResult, {kind: 'answered'}>,
    holder: WorkHolder,
  ): Attempt {
    const {member} = choice;
    const {position, end} = answer;
    this.standings.answered(member, position, expectedWaitMilliseconds);
    if (end.kind === 'complete' || !wasNotRun(end.error)) {
      return {kind: 'answered', answer, holder, member};
    }
    holder.end();
    if (end.error.kind === 'behind') {
      this.standings.wasBehind(member, choice.floorAgeMilliseconds ?? 0);
    }
    return next(`${member} answered ${end.error.code}`);
  }

  private judgeRefusal(
    {member}: Choice,
    {refusal}: Extract<WorkResult, {kind: 'refused'}>,
    {machine}: WorkHolder,
  ): Attempt {
    const {reason, retryAfterMilliseconds} = refusal;
    if (reason === 'overloaded') {
      this.standings.refused(member, retryAfterMilliseconds);
    } else if (reason === 'unreachable') {
      this.options.gate.cannotReach(machine, member);
    }
    const full = reason === 'overloaded' ? retryAfterMilliseconds : undefined;
    return next(`${member}: ${reason}`, false, full);
  }

  /** What the log of a member must hold for this read; waits to learn it. */
  private async needsOf(
    statement: RoutedStatement,
  ): Promise<ReadNeeds | undefined> {
    const {terms, entry, receivedAt, ownWrite} = statement;
    const allowed = terms.maximumStalenessMilliseconds ?? 0;
    const margin = Math.min(AGE_MARGIN_MILLISECONDS, allowed / 2);
    const evidence = await this.options.freshness.coverSince(
      entry.database,
      receivedAt - allowed + margin,
      EVIDENCE_WAIT_MILLISECONDS,
    );
    if (evidence === undefined) return undefined;
    const now = this.options.timer.now();
    const own = terms.consistency === 'readYourWrites' ? ownWrite : undefined;
    return strictest(
      {
        floor: evidence.position,
        floorAgeMilliseconds: now - evidence.askedAt,
      },
      own && {
        floor: own.position,
        floorAgeMilliseconds: now - own.at,
      },
    );
  }

  private timeLeft({receivedAt, terms}: RoutedStatement): number {
    const spent = this.options.timer.now() - receivedAt;
    return Math.max(0, Math.round(terms.statementMilliseconds - spent));
  }

  private objectiveLeft({receivedAt, terms}: RoutedStatement): number {
    return objectiveLeft(terms, this.options.timer.now() - receivedAt);
  }

  private groupOf({entry}: RoutedStatement): DatabaseGroup | undefined {
    return findGroup(this.options.view.current, entry.database);
  }

  private noteMissing({groups}: ClusterView): void {
    const now = this.options.timer.now();
    for (const {database, primary} of groups) {
      if (primary !== undefined) this.missingSince.delete(database);
      else if (!this.missingSince.has(database)) {
        this.missingSince.set(database, now);
      }
    }
  }

  private missing(database: string): Missing {
    const {timer, freshness, cutOff} = this.options;
    const since = this.missingSince.get(database) ?? timer.now();
    const silent = freshness.silentMilliseconds(database);
    const milliseconds = Math.max(timer.now() - since, silent);
    return {milliseconds, cutOff: cutOff()};
  }

  private logAttempt(
    {requestId, receivedAt}: RoutedStatement,
    {member, primaryTerm, floor, floorAgeMilliseconds}: Choice,
    result: WorkResult,
    {machine}: WorkHolder,
  ): void {
    const {logger, timer, view} = this.options;
    const fields = {
      request: requestId,
      member,
      through: machine,
      primaryTerm,
      floor: floor && `${floor.term}.${floor.number}`,
      floorAge: floorAgeMilliseconds && Math.round(floorAgeMilliseconds),
      view: view.current.index,
      spent: Math.round(timer.now() - receivedAt),
    };
    if (result.kind === 'answered') {
      logger.info('answered', {...fields, end: result.answer.end.kind});
    } else if (result.kind === 'refused') {
      logger.info('not run', {...fields, why: result.refusal.reason});
    } else {
      logger.info('lost', {...fields, why: result.reason});
    }
  }
}
