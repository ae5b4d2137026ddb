import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, DatabaseGroup, findGroup} from '@apricotlock/topology';
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

/** Dependencies of the routing of reads. */
export interface ReadRouterOptions {
  readonly dataCentre: string;
  readonly view: Observable<ClusterView>;
  readonly primaryPositions: PrimaryPositionTracker;
  readonly timer: TimerService;
  readonly attempts: MemberAttempts;
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
    requirement: ReadRequirement,
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
    requirement: ReadRequirement,
    waitMilliseconds: number,
  ): Promise<Attempt> {
    const {dataCentre, timer, attempts} = this.options;
    const {estimates} = attempts;
    const order = readOrder(group, dataCentre, requirement, estimates);
    let last = retryable('the database has no member that accepts work');
    for (const {name} of order) {
      const remainingMilliseconds = timeLeft(statement, timer.now());
      if (remainingMilliseconds < MINIMUM_ATTEMPT_MILLISECONDS) break;
      const attempt = await attempts.run(statement, group, {
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
}
