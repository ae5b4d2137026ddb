import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {wasNotRun} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, DatabaseGroup, findGroup} from '@apricotlock/topology';
import {WorkRequest} from '@apricotlock/work';
import {AnnouncedWaits, Urgency} from './announced_waits.js';
import {
  carryMayHaveRun,
  Attempt,
  toFinalOutcome,
  withShortestWait,
  RetryableFailure,
  retryable,
  RouteOutcome,
} from './attempt.js';
import {PrimaryPositionTracker} from './primary_position_tracker.js';
import {MemberEstimates} from './member_estimates.js';
import {
  failoverWaitPolicy,
  PrimaryOutage,
  remainingObjectiveMilliseconds,
  WaitPolicy,
  queueMilliseconds,
} from './wait_policy.js';
import {ReadRequirement, readOrder} from './read_order.js';
import {retryPause} from './retry_pause.js';
import {
  Choice,
  isRepeatable,
  RoutedStatement,
  stricterRequirement,
  toWorkRequest,
} from './routed_statement.js';
import {WorkDispatcher} from './work_dispatcher.js';
import {WorkHandle, WorkResult} from './work_handle.js';

/**
 * Samples are required to be this much newer than the staleness limit, to make
 * up for timers that fire late.
 */
const STALENESS_MARGIN_MILLISECONDS = 40;
/** How long a read waits for the position of the primary. */
const POSITION_WAIT_MILLISECONDS = 250;
/** A read without an answer for this long is tried on another member. */
const READ_ATTEMPT_TIMEOUT_MILLISECONDS = 450;
/** With less time than this left, no further attempt is made. */
const MINIMUM_ATTEMPT_MILLISECONDS = 10;

/** Dependencies of the statement router. */
export interface StatementRouterOptions {
  readonly dataCentre: string;
  readonly view: Observable<ClusterView>;
  readonly dispatcher: WorkDispatcher;
  readonly primaryPositions: PrimaryPositionTracker;
  /** Returns whether this VM is considered isolated from the others. */
  readonly isIsolated: () => boolean;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/**
 * Routes single statements, and the first statement of each transaction, to a
 * member that can run them.
 */
export class StatementRouter {
  private readonly estimates: MemberEstimates;
  private readonly announcedWaits: AnnouncedWaits;
  /** When the primary was first missing from the view, by database. */
  private readonly primaryMissingSince = new Map<string, number>();

  private constructor(private readonly options: StatementRouterOptions) {
    this.estimates = MemberEstimates.create(options.timer);
    this.announcedWaits = AnnouncedWaits.create(options.timer);
    this.trackMissingPrimaries(options.view.current);
    options.view.subscribe(view => this.trackMissingPrimaries(view));
  }

  /** Creates a router for the callers of one VM. */
  static create(options: StatementRouterOptions): StatementRouter {
    return new StatementRouter(options);
  }

  /**
   * Runs a statement on a member that may run it. Waits for such a member as long
   * as the wait policy permits.
   */
  async route(statement: RoutedStatement): Promise<RouteOutcome> {
    const anyMember =
      statement.readOnly && statement.terms.consistency !== 'primary';
    return anyMember
      ? this.routeRead(statement)
      : this.routeToPrimary(statement);
  }

  /** Tries the primary until it answers or no time is left. */
  private routeToPrimary(statement: RoutedStatement): Promise<RouteOutcome> {
    const policy = this.waitPolicyFor(statement);
    return this.retryUntilDeadline(statement, policy, () =>
      this.tryPrimary(statement),
    );
  }

  private waitPolicyFor({terms, entry}: RoutedStatement): WaitPolicy {
    return failoverWaitPolicy(terms, this.primaryOutage(entry.database));
  }

  /**
   * Retries until an attempt has a final outcome or the hold time of the policy
   * is over.
   */
  private async retryUntilDeadline(
    {receivedAt}: RoutedStatement,
    {holdMilliseconds, retryAfterMilliseconds}: WaitPolicy,
    attemptOnce: () => Promise<Attempt>,
  ): Promise<RouteOutcome> {
    const {timer} = this.options;
    const deadline = receivedAt + holdMilliseconds;
    let last: RetryableFailure | undefined;
    for (let attempts = 1; ; attempts++) {
      const attempt = await attemptOnce();
      if (attempt.kind !== 'retryable') return attempt;
      last = carryMayHaveRun(last, attempt);
      const remainingMilliseconds = deadline - timer.now();
      if (remainingMilliseconds < MINIMUM_ATTEMPT_MILLISECONDS) {
        return toFinalOutcome(last, retryAfterMilliseconds);
      }
      const {expectedWaitMilliseconds} = attempt;
      const pause = retryPause({attempts, expectedWaitMilliseconds});
      await timer.sleep(Math.min(remainingMilliseconds, pause));
    }
  }

  private async tryPrimary(statement: RoutedStatement): Promise<Attempt> {
    const group = this.currentGroup(statement);
    if (group?.primary === undefined) {
      return retryable('the database currently has no primary');
    }
    const primaryTerm = group.term;
    return this.attemptOn(statement, group, {
      member: group.primary,
      primaryTerm,
      floor: undefined,
      repeatable: isRepeatable(statement),
      timeoutMilliseconds: this.remainingMilliseconds(statement),
      waitMilliseconds: queueMilliseconds(statement.terms),
    });
  }

  /** Tries members in read order until one can run the statement. */
  private routeRead(statement: RoutedStatement): Promise<RouteOutcome> {
    const policy = this.waitPolicyFor(statement);
    return this.retryUntilDeadline(statement, policy, () =>
      this.tryRead(statement),
    );
  }

  private async tryRead(statement: RoutedStatement): Promise<Attempt> {
    const requirement = await this.requirementFor(statement);
    if (requirement === undefined) {
      return retryable('the log position of the primary is unknown');
    }
    const group = this.currentGroup(statement);
    if (group === undefined) return retryable('the database is not known yet');
    return this.tryMembers(statement, group, requirement);
  }

  /**
   * Tries all members, first with waits that allow an answer within the latency
   * objective. Only if the queues of all members are longer than that does the
   * statement wait beyond its objective.
   */
  private async tryMembers(
    statement: RoutedStatement,
    group: DatabaseGroup,
    requirement: ReadRequirement,
  ): Promise<Attempt> {
    const remainingObjective = this.remainingObjectiveMilliseconds(statement);
    const maximumWaitMilliseconds = queueMilliseconds(statement.terms);
    const waitLimits =
      remainingObjective > 0
        ? [
            Math.min(remainingObjective, maximumWaitMilliseconds),
            maximumWaitMilliseconds,
          ]
        : [maximumWaitMilliseconds];
    let last: RetryableFailure | undefined;
    for (const wait of waitLimits) {
      const attempt = await this.tryInOrder(
        statement,
        group,
        requirement,
        wait,
      );
      if (attempt.kind !== 'retryable') return attempt;
      last = carryMayHaveRun(last, attempt);
      if (last.expectedWaitMilliseconds === undefined) return last;
    }
    return last ?? retryable('the statement has no time left');
  }

  private async tryInOrder(
    statement: RoutedStatement,
    group: DatabaseGroup,
    requirement: ReadRequirement,
    waitMilliseconds: number,
  ): Promise<Attempt> {
    const {dataCentre} = this.options;
    const order = readOrder(group, dataCentre, requirement, this.estimates);
    let last = retryable('the database has no member that accepts work');
    for (const {name} of order) {
      const remainingMilliseconds = this.remainingMilliseconds(statement);
      if (remainingMilliseconds < MINIMUM_ATTEMPT_MILLISECONDS) break;
      const attempt = await this.attemptOn(statement, group, {
        member: name,
        primaryTerm: 0,
        floor: requirement.floor,
        floorAgeMilliseconds: requirement.floorAgeMilliseconds,
        repeatable: isRepeatable(statement),
        timeoutMilliseconds: Math.min(
          remainingMilliseconds,
          READ_ATTEMPT_TIMEOUT_MILLISECONDS,
        ),
        waitMilliseconds,
      });
      if (attempt.kind !== 'retryable') return attempt;
      last = withShortestWait(last, carryMayHaveRun(last, attempt));
    }
    return last;
  }

  /** Makes one attempt on one member. */
  private async attemptOn(
    statement: RoutedStatement,
    group: DatabaseGroup,
    choice: Choice,
  ): Promise<Attempt> {
    const {dispatcher, timer} = this.options;
    if (statement.mayRun?.() === false) {
      return retryable('the key of the caller is no longer valid');
    }
    const remainingObjective = this.remainingObjectiveMilliseconds(statement);
    const request = toWorkRequest(statement, choice, remainingObjective);
    const late = remainingObjective <= 0;
    const urgency = {priority: request.priority, late};
    const knownRefusal = this.knownRefusal(request, urgency);
    if (knownRefusal !== undefined) return knownRefusal;
    const work = dispatcher.dispatch(group, request);
    if (work === undefined) return retryable('no VM can reach the member');
    const handle = WorkHandle.of(work, dispatcher, timer);
    const {timeoutMilliseconds, repeatable} = choice;
    const result = await handle.awaitResult(timeoutMilliseconds, repeatable);
    this.logAttempt(statement, choice, result, handle);
    if (result.kind === 'answered') {
      return this.handleAnswer(choice, result, handle);
    }
    handle.end();
    if (result.kind === 'refused') {
      return this.handleRefusal(choice, result, handle, urgency);
    }
    const {mayHaveRun, timedOut, reason} = result;
    // A timeout may be due to a lost VM, which says nothing about the member.
    if (!timedOut) this.estimates.recordFailure(choice.member);
    if (!mayHaveRun || choice.repeatable) return retryable(reason, mayHaveRun);
    return {kind: 'unknown', timedOut, reason};
  }

  /** Returns the refusal of a member that has just announced a longer wait. */
  private knownRefusal(
    {member, waitMilliseconds}: WorkRequest,
    urgency: Urgency,
  ): RetryableFailure | undefined {
    const announced = this.announcedWaits.knownRefusal(
      member,
      urgency,
      waitMilliseconds,
    );
    if (announced === undefined) return undefined;
    const reason = `${member}: overloaded, as it has announced`;
    return retryable(reason, false, announced);
  }

  private handleAnswer(
    choice: Choice,
    {answer, expectedWaitMilliseconds}: Extract<WorkResult, {kind: 'answered'}>,
    handle: WorkHandle,
  ): Attempt {
    const {member} = choice;
    const {position, end} = answer;
    this.estimates.recordAnswer(member, position, expectedWaitMilliseconds);
    this.announcedWaits.recordAnswer(member, expectedWaitMilliseconds);
    if (end.kind === 'complete' || !wasNotRun(end.error)) {
      return {kind: 'answered', answer, handle, member};
    }
    handle.end();
    if (end.error.kind === 'behind') {
      this.estimates.recordLag(member, choice.floorAgeMilliseconds ?? 0);
    }
    return retryable(`${member} returned error ${end.error.code}`);
  }

  private handleRefusal(
    {member}: Choice,
    {refusal}: Extract<WorkResult, {kind: 'refused'}>,
    {machine}: WorkHandle,
    urgency: Urgency,
  ): Attempt {
    const {reason, retryAfterMilliseconds} = refusal;
    if (reason === 'overloaded') {
      this.announcedWaits.recordRefusal(
        member,
        urgency,
        retryAfterMilliseconds,
      );
      this.estimates.recordRefusal(member, retryAfterMilliseconds);
    } else if (reason === 'unreachable') {
      this.options.dispatcher.recordUnreachable(machine, member);
    }
    const queueWaitMilliseconds =
      reason === 'overloaded' ? retryAfterMilliseconds : undefined;
    return retryable(`${member}: ${reason}`, false, queueWaitMilliseconds);
  }

  /**
   * Resolves to the log position that a member must have for this read,
   * `undefined` if the position of the primary is not available in time.
   */
  private async requirementFor(
    statement: RoutedStatement,
  ): Promise<ReadRequirement | undefined> {
    const {terms, entry, receivedAt, ownWrite} = statement;
    const maximumStaleness = terms.maximumStalenessMilliseconds ?? 0;
    const margin = Math.min(
      STALENESS_MARGIN_MILLISECONDS,
      maximumStaleness / 2,
    );
    const sample = await this.options.primaryPositions.waitForCoveringSample(
      entry.database,
      receivedAt - maximumStaleness + margin,
      POSITION_WAIT_MILLISECONDS,
    );
    if (sample === undefined) return undefined;
    const now = this.options.timer.now();
    const requiredWrite =
      terms.consistency === 'readYourWrites' ? ownWrite : undefined;
    return stricterRequirement(
      {
        floor: sample.position,
        floorAgeMilliseconds: now - sample.requestedAt,
      },
      requiredWrite && {
        floor: requiredWrite.position,
        floorAgeMilliseconds: now - requiredWrite.at,
      },
    );
  }

  private remainingMilliseconds({receivedAt, terms}: RoutedStatement): number {
    const elapsedMilliseconds = this.options.timer.now() - receivedAt;
    return Math.max(
      0,
      Math.round(terms.statementMilliseconds - elapsedMilliseconds),
    );
  }

  private remainingObjectiveMilliseconds({
    receivedAt,
    terms,
  }: RoutedStatement): number {
    return remainingObjectiveMilliseconds(
      terms,
      this.options.timer.now() - receivedAt,
    );
  }

  private currentGroup({entry}: RoutedStatement): DatabaseGroup | undefined {
    return findGroup(this.options.view.current, entry.database);
  }

  private trackMissingPrimaries({groups}: ClusterView): void {
    const now = this.options.timer.now();
    for (const {database, primary} of groups) {
      if (primary !== undefined) this.primaryMissingSince.delete(database);
      else if (!this.primaryMissingSince.has(database)) {
        this.primaryMissingSince.set(database, now);
      }
    }
  }

  private primaryOutage(database: string): PrimaryOutage {
    const {timer, primaryPositions, isIsolated} = this.options;
    const since = this.primaryMissingSince.get(database) ?? timer.now();
    const silentMilliseconds = primaryPositions.silentMilliseconds(database);
    const durationMilliseconds = Math.max(
      timer.now() - since,
      silentMilliseconds,
    );
    return {durationMilliseconds, isolated: isIsolated()};
  }

  private logAttempt(
    {requestId, receivedAt, organisation}: RoutedStatement,
    {member, primaryTerm, floor, floorAgeMilliseconds}: Choice,
    result: WorkResult,
    {machine}: WorkHandle,
  ): void {
    const {logger, timer, view} = this.options;
    const fields = {
      request: requestId,
      organisation: organisation?.name,
      member,
      through: machine,
      primaryTerm,
      floor: floor && `${floor.term}.${floor.number}`,
      floorAge: floorAgeMilliseconds && Math.round(floorAgeMilliseconds),
      view: view.current.index,
      elapsed: Math.round(timer.now() - receivedAt),
    };
    if (result.kind === 'answered') {
      const {end} = result.answer;
      logger.info('statement answered', {
        ...fields,
        end: end.kind,
        error: end.kind === 'error' ? end.error.code : undefined,
      });
    } else if (result.kind === 'refused') {
      logger.info('statement not run', {
        ...fields,
        reason: result.refusal.reason,
      });
    } else {
      logger.info('statement lost', {...fields, reason: result.reason});
    }
  }
}
