import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {
  ClusterView,
  DatabaseGroup,
  findGroup,
  Member,
} from '@apricotlock/topology';
import {
  Attempt,
  carryMayHaveRun,
  MINIMUM_ATTEMPT_MILLISECONDS,
  retryable,
  RetryableFailure,
  RouteOutcome,
  withShortestWait,
} from './attempt.js';
import {isMemberFailure, MemberAttempts} from './member_attempts.js';
import {PrimaryPositionTracker} from './primary_position_tracker.js';
import {readOrder} from './read_order.js';
import {ReadRequirements, TimedRequirement} from './read_requirements.js';
import {
  isRepeatable,
  objectiveTimeLeft,
  RoutedStatement,
  timeLeft,
} from './routed_statement.js';
import {SessionObserver} from './session_observer.js';
import {queueMilliseconds} from './wait_policy.js';

/** A read without an answer for this long is tried on another member. */
const READ_ATTEMPT_TIMEOUT_MILLISECONDS = 450;

/**
 * Share of the time until the objective for which a read waits for a replica to
 * catch up; the rest is for its queue and the statement.
 */
const CATCH_UP_SHARE = 0.5;

/** Dependencies of the routing of reads. */
export interface ReadRouterOptions {
  readonly dataCentre: string;
  readonly view: Observable<ClusterView>;
  readonly primaryPositions: PrimaryPositionTracker;
  readonly timer: TimerService;
  readonly attempts: MemberAttempts;
  readonly observer: SessionObserver;
}

/** An answer of a member, which may be an error. */
type AnsweredAttempt = Extract<Attempt, {kind: 'answered'}>;

/** Routes reads that any member with a recent enough log may run. */
export class ReadRouter {
  private readonly requirements: ReadRequirements;
  private turn = 0;

  private constructor(private readonly options: ReadRouterOptions) {
    const {timeline} = options.attempts;
    this.requirements = ReadRequirements.create({...options, timeline});
  }

  /** Creates the router of reads of one VM. */
  static create(options: ReadRouterOptions): ReadRouter {
    return new ReadRouter(options);
  }

  /** Tries members in read order until one can run the statement. */
  async tryOnce(statement: RoutedStatement): Promise<Attempt> {
    const {view} = this.options;
    const requirement = await this.requirements.requirementFor(statement);
    if (requirement === undefined) {
      return retryable('the log position of the primary is unknown');
    }
    const group = findGroup(view.current, statement.entry.database);
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
    requirement: TimedRequirement,
  ): Promise<Attempt> {
    const {timer} = this.options;
    const remainingObjective = objectiveTimeLeft(statement, timer.now());
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
    requirement: TimedRequirement,
    waitMilliseconds: number,
  ): Promise<Attempt> {
    const {dataCentre, timer, attempts} = this.options;
    const {estimates, outliers} = attempts;
    this.turn += 1;
    let order = readOrder(
      group,
      dataCentre,
      requirement,
      estimates,
      outliers,
      this.turn,
    );
    let last = retryable('the database has no member that accepts work');
    const tryMember = (member: string) =>
      this.tryMember(statement, group, member, requirement, waitMilliseconds);
    let failed: AnsweredAttempt | undefined;
    let anyTried = false;
    let skipped: string | undefined;
    for (let index = 0; index < order.length; index++) {
      const {name} = order[index] as Member;
      const remainingMilliseconds = timeLeft(statement, timer.now());
      if (remainingMilliseconds < MINIMUM_ATTEMPT_MILLISECONDS) break;
      if (!(await this.isReady(statement, group, name, requirement))) {
        skipped ??= name;
        const reason = `${name} is behind the required log position`;
        last = withShortestWait(last, carryMayHaveRun(last, retryable(reason)));
        continue;
      }
      anyTried = true;
      const attempt = await tryMember(name);
      if (attempt.kind === 'retryable') {
        if (attempt.behind === true) {
          order = primaryFirst(order, group, index + 1);
        }
        last = withShortestWait(last, carryMayHaveRun(last, attempt));
      } else if (!isFailureToRepeat(statement, attempt)) {
        if (failed !== undefined) this.endFailed(failed);
        return attempt;
      } else if (failed === undefined) {
        failed = attempt;
      } else {
        attempt.handle.end();
        return failed;
      }
    }
    if (failed !== undefined) return failed;
    // Without any other member, a read is the only way to notice that a replica
    // has caught up.
    if (
      anyTried ||
      skipped === undefined ||
      !estimates.isLagProbeDue(skipped)
    ) {
      return last;
    }
    return tryMember(skipped);
  }

  /** Ends the work of a failed read that another member has answered. */
  private endFailed({handle}: AnsweredAttempt): void {
    handle.end();
    this.options.observer.onRouting('failedElsewhere');
  }

  /**
   * Waits for a replica that will soon have caught up with the requirement.
   * Resolves to whether the member should be tried.
   */
  private async isReady(
    statement: RoutedStatement,
    {primary}: DatabaseGroup,
    member: string,
    {floor, floorAgeMilliseconds, at}: TimedRequirement,
  ): Promise<boolean> {
    if (member === primary) return true;
    const {timer, attempts, observer} = this.options;
    const now = timer.now();
    const catchUpMilliseconds = attempts.estimates.catchUpMilliseconds(
      member,
      floor,
      floorAgeMilliseconds + now - at,
    );
    if (catchUpMilliseconds === 0) return true;
    const remaining =
      objectiveTimeLeft(statement, now) || timeLeft(statement, now);
    if (catchUpMilliseconds > remaining * CATCH_UP_SHARE) {
      observer.onRouting('behindSkipped');
      return false;
    }
    observer.onRouting('waitedForReplica');
    await timer.sleep(catchUpMilliseconds);
    return true;
  }

  private tryMember(
    statement: RoutedStatement,
    group: DatabaseGroup,
    member: string,
    {floor, floorAgeMilliseconds, at}: TimedRequirement,
    waitMilliseconds: number,
  ): Promise<Attempt> {
    const now = this.options.timer.now();
    const timeoutMilliseconds = Math.min(
      timeLeft(statement, now),
      READ_ATTEMPT_TIMEOUT_MILLISECONDS,
    );
    return this.options.attempts.run(statement, group, {
      member,
      primaryTerm: 0,
      floor,
      floorAgeMilliseconds: floorAgeMilliseconds + now - at,
      repeatable: isRepeatable(statement),
      timeoutMilliseconds,
      waitMilliseconds,
    });
  }
}

/**
 * Returns the order with the primary as the first of the members from `index`
 * on, if it is among them. Where one replica is behind the floor of a read,
 * others often are too.
 */
function primaryFirst(
  order: readonly Member[],
  {primary}: DatabaseGroup,
  index: number,
): readonly Member[] {
  const rest = order.slice(index);
  const found = rest.filter(({name}) => name === primary);
  const others = rest.filter(({name}) => name !== primary);
  return [...order.slice(0, index), ...found, ...others];
}

/**
 * Returns whether a member failed a read that may run twice. The cause is the
 * member or the statement; another member shows which.
 */
function isFailureToRepeat(
  statement: RoutedStatement,
  attempt: RouteOutcome,
): attempt is AnsweredAttempt {
  return (
    attempt.kind === 'answered' &&
    isMemberFailure(attempt.answer.end) &&
    isRepeatable(statement)
  );
}
