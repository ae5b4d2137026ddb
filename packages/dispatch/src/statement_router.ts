import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, rendezvousWeight} from '@apricotlock/topology';
import {
  Attempt,
  carryMayHaveRun,
  MINIMUM_ATTEMPT_MILLISECONDS,
  RetryableFailure,
  RouteOutcome,
  toFinalOutcome,
} from './attempt.js';
import {cannotBeServed, RetrySpread} from './early_refusal.js';
import {MemberAttempts} from './member_attempts.js';
import {PrimaryOutages} from './primary_outages.js';
import {PrimaryPositionTracker} from './primary_position_tracker.js';
import {PrimaryRouter} from './primary_router.js';
import {ReadRouter} from './read_router.js';
import {retryPause} from './retry_pause.js';
import {
  objectiveTimeLeft,
  RoutedStatement,
  timeLeft,
} from './routed_statement.js';
import {SessionObserver} from './session_observer.js';
import {
  failoverWaitPolicy,
  queueMilliseconds,
  WaitPolicy,
} from './wait_policy.js';
import {WorkDispatcher} from './work_dispatcher.js';

/** Dependencies of the statement router. */
export interface StatementRouterOptions {
  /** The name of this VM. */
  readonly self: string;
  readonly dataCentre: string;
  readonly view: Observable<ClusterView>;
  readonly dispatcher: WorkDispatcher;
  readonly primaryPositions: PrimaryPositionTracker;
  /** Returns whether this VM is considered isolated from the others. */
  readonly isIsolated: () => boolean;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly observer: SessionObserver;
}

/**
 * Routes single statements, and the first statement of each transaction, to a
 * member that can run them.
 */
export class StatementRouter {
  private readonly attempts: MemberAttempts;
  private readonly reads: ReadRouter;
  private readonly primaries: PrimaryRouter;
  private readonly outages: PrimaryOutages;
  private readonly spread: RetrySpread;

  private constructor(private readonly options: StatementRouterOptions) {
    const attempts = MemberAttempts.create(options);
    this.attempts = attempts;
    this.reads = ReadRouter.create({...options, attempts});
    this.primaries = PrimaryRouter.create({...options, attempts});
    this.outages = PrimaryOutages.create(options);
    const weight = rendezvousWeight(options.self, options.dataCentre);
    this.spread = RetrySpread.startingAt(weight / 2 ** 32);
  }

  /** Creates a router for the callers of one VM. */
  static create(options: StatementRouterOptions): StatementRouter {
    return new StatementRouter(options);
  }

  /**
   * Runs a statement on a member that may run it. Waits for such a member as
   * long as the wait policy permits.
   */
  async route(statement: RoutedStatement): Promise<RouteOutcome> {
    const {terms, entry, readOnly} = statement;
    this.attempts.retries.recordFirstAttempt(entry.database);
    const outage = this.outages.outageOf(entry.database);
    const policy = failoverWaitPolicy(terms, outage);
    const anyMember = readOnly && terms.consistency !== 'primary';
    const router = anyMember ? this.reads : this.primaries;
    return this.retryUntilDeadline(statement, policy, () =>
      router.tryOnce(statement),
    );
  }

  /**
   * Retries until an attempt has a final outcome or the hold time of the policy
   * is over.
   */
  private async retryUntilDeadline(
    statement: RoutedStatement,
    {holdMilliseconds, retryAfterMilliseconds}: WaitPolicy,
    attemptOnce: () => Promise<Attempt>,
  ): Promise<RouteOutcome> {
    const {timer} = this.options;
    const deadline = statement.receivedAt + holdMilliseconds;
    let last: RetryableFailure | undefined;
    for (let attempts = 1; ; attempts++) {
      const attempt = await attemptOnce();
      if (attempt.kind !== 'retryable') return attempt;
      last = carryMayHaveRun(last, attempt);
      const remainingMilliseconds = deadline - timer.now();
      const isOver = remainingMilliseconds < MINIMUM_ATTEMPT_MILLISECONDS;
      if (isOver || this.isRefusedBeforeDeadline(statement, last)) {
        return toFinalOutcome(last, retryAfterMilliseconds, this.spread);
      }
      const {expectedWaitMilliseconds} = attempt;
      const pause = retryPause({attempts, expectedWaitMilliseconds});
      await timer.sleep(Math.min(remainingMilliseconds, pause));
    }
  }

  /** Returns whether a statement is refused although it has time left. */
  private isRefusedBeforeDeadline(
    statement: RoutedStatement,
    last: RetryableFailure,
  ): boolean {
    const {observer} = this.options;
    // No member gets a statement of a revoked key.
    if (statement.isPermitted?.() === false) return true;
    if (this.isRefusedEarly(statement, last)) {
      observer.onRouting('refusedEarly');
      return true;
    }
    if (this.attempts.mayRetry(statement.entry.database, last)) return false;
    observer.onRouting('retryDenied');
    return true;
  }

  /** Returns whether no member can serve a statement in time. */
  private isRefusedEarly(
    statement: RoutedStatement,
    {mayHaveRun, allAnnounced, expectedWaitMilliseconds}: RetryableFailure,
  ): boolean {
    if (mayHaveRun || allAnnounced !== true) return false;
    if (expectedWaitMilliseconds === undefined) return false;
    const now = this.options.timer.now();
    return cannotBeServed({
      announcedWaitMilliseconds: expectedWaitMilliseconds,
      remainingMilliseconds: timeLeft(statement, now),
      remainingObjectiveMilliseconds: objectiveTimeLeft(statement, now),
      queueMilliseconds: queueMilliseconds(statement.terms),
    });
  }
}
