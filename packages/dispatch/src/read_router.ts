import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, DatabaseGroup, findGroup} from '@apricotlock/topology';
import {
  Attempt,
  carryMayHaveRun,
  retryable,
  RetryableFailure,
} from './attempt.js';
import {MemberAttempts} from './member_attempts.js';
import {PrimaryPositionTracker} from './primary_position_tracker.js';
import {readOrder} from './read_order.js';
import {ReadRequirements, TimedRequirement} from './read_requirements.js';
import {ReadRound} from './read_round.js';
import {objectiveTimeLeft, RoutedStatement} from './routed_statement.js';
import {SessionObserver} from './session_observer.js';
import {queueMilliseconds} from './wait_policy.js';

/**
 * A read without an answer for this long is tried on another member. It is
 * longer for reads whose objective allows a longer wait in a queue, since a
 * queue admits work for a part of this time only.
 */
const READ_ATTEMPT_TIMEOUT_MILLISECONDS = 450;
const LONGEST_READ_ATTEMPT_MILLISECONDS = 1_350;
/**
 * The time of an attempt in terms of the objective: a queue then admits work
 * for up to 0.8 of the objective, and the rest is for the statement and its
 * way.
 */
const ATTEMPT_OBJECTIVES = 4 / 3;

/** Dependencies of the routing of reads. */
export interface ReadRouterOptions {
  readonly dataCentre: string;
  readonly view: Observable<ClusterView>;
  readonly primaryPositions: PrimaryPositionTracker;
  readonly timer: TimerService;
  readonly attempts: MemberAttempts;
  readonly observer: SessionObserver;
}

/** Limits of the attempts on the members of a group. */
interface AttemptLimits {
  readonly waitMilliseconds: number;
  readonly timeoutMilliseconds: number;
}

/** Routes reads that any member with a recent enough log may run. */
export class ReadRouter {
  private readonly requirements: ReadRequirements;
  /** Counts reads, so that equal members take turns. */
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
   * statement wait beyond its objective, behind work that is not late yet.
   */
  private async tryMembers(
    statement: RoutedStatement,
    group: DatabaseGroup,
    requirement: TimedRequirement,
  ): Promise<Attempt> {
    const {timer, attempts} = this.options;
    const limits = objectiveLimits(statement, timer.now());
    let first: RetryableFailure | undefined;
    if (limits !== undefined) {
      const attempt = await this.tryInOrder(
        statement,
        group,
        requirement,
        limits,
      );
      if (attempt.kind !== 'retryable') return attempt;
      if (attempt.expectedWaitMilliseconds === undefined) return attempt;
      if (!attempts.mayRetry(group.database, attempt)) return attempt;
      first = attempt;
    }
    const attempt = await this.tryInOrder(statement, group, requirement, {
      waitMilliseconds: queueMilliseconds(statement.terms),
      timeoutMilliseconds: statement.terms.statementMilliseconds,
    });
    return attempt.kind === 'retryable'
      ? carryMayHaveRun(first, attempt)
      : attempt;
  }

  private tryInOrder(
    statement: RoutedStatement,
    group: DatabaseGroup,
    requirement: TimedRequirement,
    limits: AttemptLimits,
  ): Promise<Attempt> {
    const {dataCentre, timer, attempts, observer} = this.options;
    this.turn += 1;
    const order = readOrder(
      group,
      dataCentre,
      requirement,
      attempts.estimates,
      {
        outliers: attempts.outliers,
        turn: this.turn,
        organisation: statement.organisation?.name,
      },
    );
    const round = ReadRound.create({
      statement,
      group,
      requirement,
      ...limits,
      attempts,
      timer,
      observer,
    });
    return round.run(order);
  }
}

/**
 * Returns the limits of attempts that are to meet the latency objective,
 * `undefined` if the statement is late already.
 */
function objectiveLimits(
  statement: RoutedStatement,
  now: number,
): AttemptLimits | undefined {
  const remaining = objectiveTimeLeft(statement, now);
  if (remaining <= 0) return undefined;
  const maximumWait = queueMilliseconds(statement.terms);
  return {
    waitMilliseconds: Math.min(remaining, maximumWait),
    timeoutMilliseconds: readAttemptTimeout(statement, now),
  };
}

/** Returns the time limit of an attempt that is to meet the objective. */
function readAttemptTimeout(statement: RoutedStatement, now: number): number {
  if (statement.terms.objectiveMilliseconds === undefined) {
    return READ_ATTEMPT_TIMEOUT_MILLISECONDS;
  }
  const remaining = objectiveTimeLeft(statement, now);
  return Math.min(
    LONGEST_READ_ATTEMPT_MILLISECONDS,
    Math.max(READ_ATTEMPT_TIMEOUT_MILLISECONDS, remaining * ATTEMPT_OBJECTIVES),
  );
}
