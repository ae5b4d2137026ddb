import {TimerService} from '@apricotlock/timer';
import {DatabaseGroup, Member} from '@apricotlock/topology';
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
import {TimedRequirement} from './read_requirements.js';
import {
  isRepeatable,
  objectiveTimeLeft,
  RoutedStatement,
  timeLeft,
} from './routed_statement.js';
import {SessionObserver} from './session_observer.js';

/**
 * Share of the time until the objective for which a read waits for a replica to
 * catch up; the rest is for its queue and the statement.
 */
const CATCH_UP_SHARE = 0.5;

/** A read to be tried once on each member, and the limits of its attempts. */
export interface ReadRoundOptions {
  readonly statement: RoutedStatement;
  readonly group: DatabaseGroup;
  readonly requirement: TimedRequirement;
  readonly waitMilliseconds: number;
  readonly timeoutMilliseconds: number;
  readonly attempts: MemberAttempts;
  readonly timer: TimerService;
  readonly observer: SessionObserver;
}

/** An answer of a member, which may be an error. */
type AnsweredAttempt = Extract<Attempt, {kind: 'answered'}>;

/** Tries one read on the members of a group, one after the other. */
export class ReadRound {
  /** The last attempt that another member may follow. */
  private last = retryable('the database has no member that accepts work');
  /** The answer of the first member that failed the statement. */
  private failed: AnsweredAttempt | undefined;
  /** Whether each attempt so far was refused with an announced wait. */
  private allAnnounced = true;
  /** The first replica that was not tried because it is behind. */
  private skipped: string | undefined;

  private constructor(private readonly options: ReadRoundOptions) {}

  /** Creates a round that has tried no member. */
  static create(options: ReadRoundOptions): ReadRound {
    return new ReadRound(options);
  }

  /** Tries the members in order until one can run the statement. */
  async run(order: readonly Member[]): Promise<Attempt> {
    const {statement, timer} = this.options;
    let members = order;
    for (let index = 0; index < members.length; index++) {
      const {name} = members[index] as Member;
      const remainingMilliseconds = timeLeft(statement, timer.now());
      if (remainingMilliseconds < MINIMUM_ATTEMPT_MILLISECONDS) break;
      if (!this.mayTryAnother()) {
        this.allAnnounced = false;
        break;
      }
      const catchUpMilliseconds = this.catchUpMilliseconds(name);
      if (!this.mayWaitFor(name, catchUpMilliseconds)) continue;
      if (catchUpMilliseconds > 0) await timer.sleep(catchUpMilliseconds);
      const attempt = await this.tryMember(name);
      if (attempt.kind === 'retryable') {
        if (attempt.behind === true) {
          members = this.primaryFirst(members, index + 1);
          this.recordFailure(this.behindFailure(name, attempt.reason));
        } else {
          this.recordFailure(attempt);
        }
      } else {
        const outcome = this.outcomeOf(attempt);
        if (outcome !== undefined) return outcome;
      }
    }
    return this.failed ?? this.tryLastResort();
  }

  /**
   * Returns the outcome of the round after a member has run the statement, or
   * `undefined` if the member failed it and another one is to be tried. If two
   * members fail it, the first failure is the outcome.
   */
  private outcomeOf(attempt: RouteOutcome): RouteOutcome | undefined {
    const {statement, group, attempts} = this.options;
    if (!isFailureToRepeat(statement, attempt)) {
      this.endFailed();
      return attempt;
    }
    if (this.failed !== undefined) {
      attempt.handle.end();
      return this.failed;
    }
    this.failed = attempt;
    const mayRetry = attempts.retries.take(group.database, 'failed');
    return mayRetry ? undefined : attempt;
  }

  /**
   * Returns whether another member may be tried. Only failed work takes a retry
   * from the budget here. Refused work takes one for each further round: within
   * a round, finding a member with room outweighs the message to a full one.
   */
  private mayTryAnother(): boolean {
    const {group, attempts} = this.options;
    if (this.last.retryCause !== 'failed') return true;
    return attempts.retries.take(group.database, 'failed');
  }

  private recordFailure(attempt: RetryableFailure): void {
    this.allAnnounced &&= attempt.allAnnounced === true;
    this.last = withShortestWait(
      this.last,
      carryMayHaveRun(this.last, attempt),
    );
  }

  /**
   * Tries a replica that was known to be behind, if no other member could run
   * the read: a read is then the only way to notice that it has caught up.
   */
  private async tryLastResort(): Promise<Attempt> {
    const {skipped} = this;
    const {estimates} = this.options.attempts;
    if (
      this.mayTryLastResort() &&
      skipped !== undefined &&
      estimates.isLagProbeDue(skipped)
    ) {
      const attempt = await this.tryMember(skipped);
      if (attempt.kind !== 'retryable') return attempt;
      this.recordFailure(
        attempt.behind === true
          ? this.behindFailure(skipped, attempt.reason)
          : attempt,
      );
    }
    return {...this.last, allAnnounced: this.allAnnounced};
  }

  /** Returns whether time and the budget of retries allow another attempt. */
  private mayTryLastResort(): boolean {
    const {statement, timer} = this.options;
    const left = timeLeft(statement, timer.now());
    return left >= MINIMUM_ATTEMPT_MILLISECONDS && this.mayTryAnother();
  }

  /**
   * Returns the failure of a read on a replica that is behind. The time until
   * it has caught up is as good as an announced wait, so that a read that no
   * member can serve in time is refused at once. Without a primary, one that
   * is appointed may serve it sooner.
   */
  private behindFailure(member: string, reason: string): RetryableFailure {
    const catchUpMilliseconds = this.catchUpMilliseconds(member);
    const isKnown =
      catchUpMilliseconds > 0 && this.options.group.primary !== undefined;
    const wait = isKnown ? catchUpMilliseconds : undefined;
    return {...retryable(reason, false, wait), allAnnounced: isKnown};
  }

  /** Returns how long a member needs to catch up with the requirement. */
  private catchUpMilliseconds(member: string): number {
    const {group, requirement, timer, attempts} = this.options;
    if (member === group.primary) return 0;
    const {floor, floorAgeMilliseconds, at} = requirement;
    return attempts.estimates.catchUpMilliseconds(
      member,
      floor,
      floorAgeMilliseconds + timer.now() - at,
    );
  }

  /**
   * Returns whether the read may wait until a replica has caught up. Records
   * the replica as skipped if not.
   */
  private mayWaitFor(member: string, catchUpMilliseconds: number): boolean {
    if (catchUpMilliseconds === 0) return true;
    const {statement, timer, observer} = this.options;
    const now = timer.now();
    const remaining =
      objectiveTimeLeft(statement, now) || timeLeft(statement, now);
    if (catchUpMilliseconds <= remaining * CATCH_UP_SHARE) {
      observer.onRouting('waitedForReplica');
      return true;
    }
    observer.onRouting('behindSkipped');
    this.skipped ??= member;
    const reason = `${member} is behind the required log position`;
    this.recordFailure(this.behindFailure(member, reason));
    return false;
  }

  private tryMember(member: string): Promise<Attempt> {
    const {statement, group, requirement, timer, attempts} = this.options;
    const {floor, floorAgeMilliseconds, at} = requirement;
    const now = timer.now();
    const timeoutMilliseconds = Math.min(
      timeLeft(statement, now),
      this.options.timeoutMilliseconds,
    );
    return attempts.run(statement, group, {
      member,
      primaryTerm: 0,
      floor,
      floorAgeMilliseconds: floorAgeMilliseconds + now - at,
      repeatable: isRepeatable(statement),
      timeoutMilliseconds,
      waitMilliseconds: this.options.waitMilliseconds,
    });
  }

  /** Ends the work of a failed read that another member has answered. */
  private endFailed(): void {
    if (this.failed === undefined) return;
    this.failed.handle.end();
    this.options.observer.onRouting('failedElsewhere');
  }

  /**
   * Returns the order with the primary as the first of the members from `index`
   * on, if it is among them. Where one replica is behind the floor of a read,
   * others often are too.
   */
  private primaryFirst(
    order: readonly Member[],
    index: number,
  ): readonly Member[] {
    const {primary} = this.options.group;
    const rest = order.slice(index);
    const found = rest.filter(({name}) => name === primary);
    const others = rest.filter(({name}) => name !== primary);
    return [...order.slice(0, index), ...found, ...others];
  }
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
