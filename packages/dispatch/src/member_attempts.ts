import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {AnswerEnd, LogPosition, wasNotRun} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, DatabaseGroup} from '@apricotlock/topology';
import {WorkRequest} from '@apricotlock/work';
import {AnnouncedWaits, Urgency} from './announced_waits.js';
import {Attempt, retryable, RetryableFailure} from './attempt.js';
import {logAttempt} from './attempt_log.js';
import {MemberEstimates} from './member_estimates.js';
import {Ejection, MemberOutliers} from './member_outliers.js';
import {PrimaryTimeline} from './primary_timeline.js';
import {
  Choice,
  objectiveTimeLeft,
  RoutedStatement,
  toWorkRequest,
} from './routed_statement.js';
import {RetryBudget} from './retry_budget.js';
import {SessionObserver} from './session_observer.js';
import {WorkDispatcher} from './work_dispatcher.js';
import {WorkHandle, WorkResult} from './work_handle.js';

/** Dependencies of attempts on members. */
export interface MemberAttemptsOptions {
  readonly view: Observable<ClusterView>;
  readonly dispatcher: WorkDispatcher;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly observer: SessionObserver;
}

/** An attempt that was sent to the VM that works on the member. */
interface SentAttempt {
  readonly request: WorkRequest;
  readonly urgency: Urgency;
  readonly handle: WorkHandle;
  /** When it was sent, on the timer's clock. */
  readonly sentAt: number;
}

/** Makes attempts on members, and learns about them from the results. */
export class MemberAttempts {
  /** Estimates of load and lag, for the order of reads. */
  readonly estimates: MemberEstimates;
  /** Recent positions of primaries, from which lag is learned. */
  readonly timeline = PrimaryTimeline.create();
  /** The members that fail or are slow, for the order of reads. */
  readonly outliers: MemberOutliers;
  /** Limits the attempts beyond the first ones. */
  readonly retries: RetryBudget;
  private readonly announcedWaits: AnnouncedWaits;

  private constructor(private readonly options: MemberAttemptsOptions) {
    this.estimates = MemberEstimates.create(options.timer);
    this.outliers = MemberOutliers.create(options.timer);
    this.retries = RetryBudget.create(options.timer);
    this.announcedWaits = AnnouncedWaits.create(options.timer);
    options.view.subscribe(view => this.forgetRemovedMembers(view));
  }

  /** Creates an instance that knows nothing about members. */
  static create(options: MemberAttemptsOptions): MemberAttempts {
    return new MemberAttempts(options);
  }

  /** Makes one attempt on one member. */
  async run(
    statement: RoutedStatement,
    group: DatabaseGroup,
    choice: Choice,
  ): Promise<Attempt> {
    const {dispatcher, timer} = this.options;
    if (statement.isPermitted?.() === false) {
      return retryable('the key of the caller is no longer valid');
    }
    const remainingObjective = objectiveTimeLeft(statement, timer.now());
    const request = toWorkRequest(statement, choice, remainingObjective);
    const late = remainingObjective <= 0;
    const urgency = {priority: request.priority, late};
    const knownRefusal = this.knownRefusal(request, urgency);
    if (knownRefusal !== undefined) return knownRefusal;
    const work = dispatcher.dispatch(group, request);
    if (work === undefined) return retryable('no VM can reach the member');
    const sentAt = timer.now();
    const handle = WorkHandle.of(work, dispatcher, timer);
    const sent = {request, urgency, handle, sentAt};
    return this.complete(statement, group, choice, sent);
  }

  /** Awaits the result of a sent attempt and learns from it. */
  private async complete(
    statement: RoutedStatement,
    group: DatabaseGroup,
    choice: Choice,
    sent: SentAttempt,
  ): Promise<Attempt> {
    const {handle, sentAt} = sent;
    const {timeoutMilliseconds, repeatable} = choice;
    const result = await handle.awaitResult(timeoutMilliseconds, repeatable);
    this.log(statement, choice, result, handle);
    if (choice.primaryTerm === 0) {
      const latency = this.options.timer.now() - sentAt;
      this.learnOutliers(statement, group, choice.member, result, latency);
    }
    if (result.kind === 'answered') {
      return this.handleAnswer(group, choice, result, sent);
    }
    handle.end();
    if (result.kind === 'refused') {
      return this.handleRefusal(result, sent);
    }
    return this.handleLoss(choice, result);
  }

  private handleLoss(
    {member, repeatable}: Choice,
    {mayHaveRun, timedOut, reason}: Extract<WorkResult, {kind: 'lost'}>,
  ): Attempt {
    // A timeout may be due to a lost VM, which says nothing about the member.
    if (!timedOut) this.estimates.recordFailure(member);
    if (!mayHaveRun || repeatable) {
      return {...retryable(reason, mayHaveRun), retryCause: 'failed'};
    }
    return {kind: 'unknown', timedOut, reason};
  }

  /**
   * Returns whether another attempt may follow a failed one, and takes it from
   * the budget of retries if it counts as one.
   */
  mayRetry(database: string, {retryCause}: RetryableFailure): boolean {
    return retryCause === undefined || this.retries.take(database, retryCause);
  }

  /** Members are replaced for as long as the process runs. */
  private forgetRemovedMembers({groups}: ClusterView): void {
    const members = new Set<string>();
    for (const group of groups) {
      for (const {name} of group.members) members.add(name);
    }
    this.estimates.retain(members);
    this.outliers.retain(members);
    this.announcedWaits.retain(members);
  }

  /** Returns the refusal of a member that has just announced a longer wait. */
  private knownRefusal(
    {member, waitMilliseconds, organisation}: WorkRequest,
    urgency: Urgency,
  ): RetryableFailure | undefined {
    const announced = this.announcedWaits.knownRefusal(
      member,
      urgency,
      waitMilliseconds,
      organisation,
    );
    if (announced === undefined) return undefined;
    const reason = `${member}: overloaded, as it has announced`;
    const remaining = this.announcedWaits.remainingWaitMilliseconds(
      member,
      organisation,
    );
    return {...retryable(reason, false, remaining), allAnnounced: true};
  }

  private handleAnswer(
    group: DatabaseGroup,
    choice: Choice,
    {answer, expectedWaitMilliseconds}: Extract<WorkResult, {kind: 'answered'}>,
    {request, handle, sentAt}: SentAttempt,
  ): Attempt {
    const {member} = choice;
    const {organisation} = request;
    const {position, end} = answer;
    this.learnLag(group, member, position, sentAt);
    this.estimates.recordAnswer(member, position, expectedWaitMilliseconds);
    this.announcedWaits.recordAnswer(
      member,
      expectedWaitMilliseconds,
      organisation,
    );
    if (end.kind === 'complete' || !wasNotRun(end.error)) {
      return {kind: 'answered', answer, handle, member};
    }
    handle.end();
    const behind = end.error.kind === 'behind';
    if (behind) {
      this.options.observer.onRouting('behind');
      this.estimates.recordLag(member, choice.floorAgeMilliseconds ?? 0);
    }
    const reason = `${member} returned error ${end.error.code}`;
    return {...retryable(reason), behind};
  }

  /** Learns from the result of a read whether its member is an outlier. */
  private learnOutliers(
    {entry, requestId}: RoutedStatement,
    group: DatabaseGroup,
    member: string,
    result: WorkResult,
    latencyMilliseconds: number,
  ): void {
    const ejection = this.recordReadResult(
      group,
      member,
      entry.name,
      result,
      latencyMilliseconds,
    );
    if (ejection === undefined) return;
    const {observer, logger} = this.options;
    observer.onRouting('ejected');
    logger.warn('member ejected from reads', {
      request: requestId,
      member,
      database: group.database,
      ejected: ejection.milliseconds,
      failures: Math.round(ejection.failures),
      latencyRatio: Number(ejection.latencyRatio.toFixed(1)),
    });
  }

  private recordReadResult(
    group: DatabaseGroup,
    member: string,
    kind: string,
    result: WorkResult,
    latencyMilliseconds: number,
  ): Ejection | undefined {
    const {outliers} = this;
    if (result.kind === 'answered') {
      const {answer, expectedWaitMilliseconds} = result;
      if (isMemberFailure(answer.end)) {
        return outliers.recordFailure(group, member);
      }
      if (answer.end.kind !== 'complete') return undefined;
      const latency =
        expectedWaitMilliseconds > 0 ? undefined : latencyMilliseconds;
      return outliers.recordSuccess(group, member, kind, latency);
    }
    if (result.kind !== 'lost' || result.timedOut) return undefined;
    // A lost link to another VM says nothing about the member.
    if (result.linkLost === true) return undefined;
    return outliers.recordFailure(group, member);
  }

  /**
   * Learns a member's lag from its position, or the position of the primary.
   */
  private learnLag(
    {database, primary}: DatabaseGroup,
    member: string,
    position: LogPosition | undefined,
    requestedAt: number,
  ): void {
    if (position === undefined) return;
    const times = {requestedAt, receivedAt: this.options.timer.now()};
    if (member === primary) this.timeline.record(database, position, times);
    else {
      const bounds = this.timeline.lagBounds(database, position, times);
      this.estimates.recordLagBounds(member, bounds);
    }
  }

  private handleRefusal(
    {refusal}: Extract<WorkResult, {kind: 'refused'}>,
    {request, urgency, handle}: SentAttempt,
  ): Attempt {
    const {member, organisation} = request;
    const {reason, retryAfterMilliseconds} = refusal;
    if (reason === 'overloaded') {
      this.announcedWaits.recordRefusal(
        member,
        urgency,
        retryAfterMilliseconds,
        organisation,
      );
      this.estimates.recordRefusal(member, retryAfterMilliseconds);
    } else if (reason === 'stopping') {
      // Another VM can reach the member, of which this says nothing.
      this.options.dispatcher.recordUnreachable(handle.machine, member);
    } else if (reason === 'unreachable') {
      this.options.dispatcher.recordUnreachable(handle.machine, member);
      this.estimates.recordFailure(member);
    }
    const allAnnounced = reason === 'overloaded';
    const wait = allAnnounced ? retryAfterMilliseconds : undefined;
    const retryCause = allAnnounced ? 'refused' : undefined;
    const failure = retryable(`${member}: ${reason}`, false, wait);
    return {...failure, allAnnounced, retryCause};
  }

  private log(
    statement: RoutedStatement,
    choice: Choice,
    result: WorkResult,
    handle: WorkHandle,
  ): void {
    const {logger, timer, view} = this.options;
    logAttempt(logger, statement, choice, result, handle, {
      elapsedMilliseconds: timer.now() - statement.receivedAt,
      viewIndex: view.current.index,
    });
  }
}

/**
 * Returns whether a member did not complete a statement that it began. The
 * reason may be the member or the statement.
 */
export function isMemberFailure(end: AnswerEnd): boolean {
  return end.kind === 'error' && !wasNotRun(end.error);
}
