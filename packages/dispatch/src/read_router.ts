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
  withShortestWait,
} from './attempt.js';
import {MemberAttempts} from './member_attempts.js';
import {PrimaryPositionTracker} from './primary_position_tracker.js';
import {ReadRequirement, readOrder} from './read_order.js';
import {
  isRepeatable,
  objectiveTimeLeft,
  RoutedStatement,
  stricterRequirement,
  timeLeft,
} from './routed_statement.js';
import {SessionObserver} from './session_observer.js';
import {queueMilliseconds} from './wait_policy.js';

/**
 * Samples are required to be this much newer than the staleness limit, to make
 * up for timers that fire late.
 */
const STALENESS_MARGIN_MILLISECONDS = 40;
/** How long a read waits for the position of the primary. */
const POSITION_WAIT_MILLISECONDS = 250;
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

/** A requirement with the time at which the age of its floor was computed. */
interface TimedRequirement extends ReadRequirement {
  readonly at: number;
}

/** Routes reads that any member with a recent enough log may run. */
export class ReadRouter {
  private constructor(private readonly options: ReadRouterOptions) {}

  /** Creates the router of reads of one VM. */
  static create(options: ReadRouterOptions): ReadRouter {
    return new ReadRouter(options);
  }

  /** Tries members in read order until one can run the statement. */
  async tryOnce(statement: RoutedStatement): Promise<Attempt> {
    const {view} = this.options;
    const requirement = await this.requirementFor(statement);
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
    const {estimates} = attempts;
    let order = readOrder(group, dataCentre, requirement, estimates);
    let last = retryable('the database has no member that accepts work');
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
      const attempt = await this.tryMember(
        statement,
        group,
        name,
        requirement,
        waitMilliseconds,
      );
      if (attempt.kind !== 'retryable') return attempt;
      if (attempt.behind === true) {
        order = primaryFirst(order, group, index + 1);
      }
      last = withShortestWait(last, carryMayHaveRun(last, attempt));
    }
    // Without any other member, a read is the only way to notice that a replica
    // has caught up.
    if (
      anyTried ||
      skipped === undefined ||
      !estimates.isLagProbeDue(skipped)
    ) {
      return last;
    }
    return this.tryMember(
      statement,
      group,
      skipped,
      requirement,
      waitMilliseconds,
    );
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

  /**
   * Resolves to the log position that a member must have for this read,
   * `undefined` if the position of the primary is not available in time.
   */
  private async requirementFor(
    statement: RoutedStatement,
  ): Promise<TimedRequirement | undefined> {
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
    this.learnPrimaryPosition(entry.database);
    const requiredWrite =
      terms.consistency === 'readYourWrites' ? ownWrite : undefined;
    const requirement = stricterRequirement(
      {
        floor: sample.position,
        floorAgeMilliseconds: now - sample.requestedAt,
      },
      requiredWrite && {
        floor: requiredWrite.position,
        floorAgeMilliseconds: now - requiredWrite.at,
      },
    );
    return {...requirement, at: now};
  }

  private learnPrimaryPosition(database: string): void {
    const {primaryPositions, attempts} = this.options;
    const newest = primaryPositions.newestSample(database);
    if (newest === undefined) return;
    attempts.timeline.record(database, newest.position, newest.requestedAt);
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
