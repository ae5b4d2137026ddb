import {comparePositions, LogPosition} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {LagBounds} from './primary_timeline.js';

/** How long the expected wait that a member reported stays valid. */
const LOAD_VALIDITY_MILLISECONDS = 200;
/**
 * After that, the mean of the reported waits counts, for half as much after
 * each period of this length: each VM sees about one answer of each member in a
 * second, so that its newest report is usually no longer valid.
 */
const MEAN_WAIT_HALF_LIFE_MILLISECONDS = 2_000;
const MEAN_WAIT_WEIGHT = 0.3;
/**
 * How long a member is avoided after a failure. Each VM reads from a member
 * about once in a second, so a member that fails again after that, without an
 * answer in between, is avoided for twice as long each time.
 */
const AVOID_MILLISECONDS = 400;
const LONGEST_AVOID_MILLISECONDS = 3_200;
/**
 * A known lag counts fully for this long, since each VM sees only about one
 * answer of each member in a second, and for up to twice as long if later
 * answers have confirmed it. Then it counts for half as much after each further
 * period, so that a read tries the member again.
 */
const LAG_VALIDITY_MILLISECONDS = 4_000;
const LONGEST_LAG_VALIDITY_MILLISECONDS = 8_000;
const LAG_HALF_LIFE_MILLISECONDS = 2_000;
/** A member that lacks a position lags by more than the age of the position. */
const LAG_GROWTH_FACTOR = 1.25;
/** A read may probe a member whose lag was last seen this long ago. */
const LAG_PROBE_MILLISECONDS = 250;

interface MemberEstimate {
  position: LogPosition | undefined;
  lagMilliseconds: number;
  lagAt: number;
  lagValidity: number;
  waitMilliseconds: number;
  waitAt: number;
  meanWaitMilliseconds: number;
  meanWaitAt: number;
  avoidUntil: number;
  /** How long the member is avoided after its next failure. */
  nextAvoidMilliseconds: number;
}

const UNKNOWN_MEMBER: Readonly<MemberEstimate> = {
  position: undefined,
  lagMilliseconds: 0,
  lagAt: -Infinity,
  lagValidity: LAG_VALIDITY_MILLISECONDS,
  waitMilliseconds: 0,
  waitAt: -Infinity,
  meanWaitMilliseconds: 0,
  meanWaitAt: -Infinity,
  avoidUntil: -Infinity,
  nextAvoidMilliseconds: AVOID_MILLISECONDS,
};

/** Estimates of the load and lag of members, derived from their answers. */
export class MemberEstimates {
  private readonly estimates = new Map<string, MemberEstimate>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an instance without any estimates. */
  static create(timer: TimerService): MemberEstimates {
    return new MemberEstimates(timer);
  }

  /**
   * Records an answer of a member, with the position of its log and the time
   * that new work would wait there.
   */
  recordAnswer(
    member: string,
    position: LogPosition | undefined,
    waitMilliseconds: number,
  ): void {
    const estimate = this.changeableEstimate(member);
    const now = this.timer.now();
    const mean = this.meanWaitMilliseconds(member);
    estimate.nextAvoidMilliseconds = AVOID_MILLISECONDS;
    estimate.position = position ?? estimate.position;
    estimate.waitMilliseconds = waitMilliseconds;
    estimate.waitAt = now;
    estimate.meanWaitMilliseconds =
      mean + (waitMilliseconds - mean) * MEAN_WAIT_WEIGHT;
    estimate.meanWaitAt = now;
  }

  /**
   * Records that a member lacked a position that the primary had reached
   * `lagMilliseconds` ago.
   */
  recordLag(member: string, lagMilliseconds: number): void {
    const known = this.lagMilliseconds(member);
    const least = lagMilliseconds * LAG_GROWTH_FACTOR;
    this.confirmLag(member, Math.max(known, least));
  }

  /** Records bounds on the lag of a member at this moment. */
  recordLagBounds(member: string, {atLeast, atMost}: LagBounds): void {
    const known = this.lagMilliseconds(member);
    if (known < atLeast) this.confirmLag(member, atLeast);
    else if (known > atMost) this.reduceLag(member, atMost);
    // Bounds that any small lag fulfils do not confirm the known one.
    else if (atLeast > known / 2) this.confirmLag(member, known);
  }

  /**
   * Records that a member refused work that would have had to wait
   * `waitMilliseconds` there.
   */
  recordRefusal(member: string, waitMilliseconds: number): void {
    const estimate = this.changeableEstimate(member);
    estimate.waitMilliseconds = waitMilliseconds;
    estimate.waitAt = this.timer.now();
  }

  /** Records that a member could not be used. */
  recordFailure(member: string): void {
    const now = this.timer.now();
    const estimate = this.changeableEstimate(member);
    // Work that is lost together is one failure.
    if (now < estimate.avoidUntil) return;
    const {nextAvoidMilliseconds} = estimate;
    estimate.avoidUntil = now + nextAvoidMilliseconds;
    estimate.nextAvoidMilliseconds = Math.min(
      LONGEST_AVOID_MILLISECONDS,
      nextAvoidMilliseconds * 2,
    );
  }

  /** Returns whether the member should be used only if there are no others. */
  isAvoided(member: string): boolean {
    return this.timer.now() < this.estimateFor(member).avoidUntil;
  }

  /** Returns how long new work would wait at the member, in milliseconds. */
  expectedWaitMilliseconds(member: string): number {
    const {waitMilliseconds, waitAt} = this.estimateFor(member);
    const age = this.timer.now() - waitAt;
    return age > LOAD_VALIDITY_MILLISECONDS
      ? this.meanWaitMilliseconds(member)
      : waitMilliseconds;
  }

  /** Returns the recent mean wait at the member, in milliseconds. */
  meanWaitMilliseconds(member: string): number {
    const {meanWaitMilliseconds, meanWaitAt} = this.estimateFor(member);
    if (meanWaitMilliseconds === 0) return 0;
    const age = this.timer.now() - meanWaitAt;
    return (
      meanWaitMilliseconds * 0.5 ** (age / MEAN_WAIT_HALF_LIFE_MILLISECONDS)
    );
  }

  /**
   * Returns how long it will probably take until the member has a position that
   * the primary had reached `floorAgeMilliseconds` ago, in milliseconds; 0 if
   * it has the position now.
   */
  catchUpMilliseconds(
    member: string,
    floor: LogPosition | undefined,
    floorAgeMilliseconds: number,
  ): number {
    if (floor === undefined) return 0;
    const {position} = this.estimateFor(member);
    if (position !== undefined && comparePositions(position, floor) >= 0) {
      return 0;
    }
    return Math.max(0, this.lagMilliseconds(member) - floorAgeMilliseconds);
  }

  /**
   * Returns whether the last evidence of the member's lag is so old that a read
   * may be spent on new evidence.
   */
  isLagProbeDue(member: string): boolean {
    const age = this.timer.now() - this.estimateFor(member).lagAt;
    return age >= LAG_PROBE_MILLISECONDS;
  }

  /** Forgets all members but the given ones. */
  retain(members: ReadonlySet<string>): void {
    for (const member of this.estimates.keys()) {
      if (!members.has(member)) this.estimates.delete(member);
    }
  }

  private lagMilliseconds(member: string): number {
    const {lagMilliseconds, lagAt, lagValidity} = this.estimateFor(member);
    if (lagMilliseconds === 0) return 0;
    const excess = this.timer.now() - lagAt - lagValidity;
    if (excess <= 0) return lagMilliseconds;
    return lagMilliseconds * 0.5 ** (excess / LAG_HALF_LIFE_MILLISECONDS);
  }

  private confirmLag(member: string, lagMilliseconds: number): void {
    const estimate = this.changeableEstimate(member);
    const validity =
      estimate.lagMilliseconds > 0
        ? estimate.lagValidity * 2
        : LAG_VALIDITY_MILLISECONDS;
    estimate.lagValidity = Math.min(
      LONGEST_LAG_VALIDITY_MILLISECONDS,
      validity,
    );
    estimate.lagMilliseconds = lagMilliseconds;
    estimate.lagAt = this.timer.now();
  }

  private reduceLag(member: string, lagMilliseconds: number): void {
    const estimate = this.changeableEstimate(member);
    estimate.lagMilliseconds = lagMilliseconds;
    estimate.lagAt = this.timer.now();
    estimate.lagValidity = LAG_VALIDITY_MILLISECONDS;
  }

  private estimateFor(member: string): Readonly<MemberEstimate> {
    return this.estimates.get(member) ?? UNKNOWN_MEMBER;
  }

  private changeableEstimate(member: string): MemberEstimate {
    const known = this.estimates.get(member);
    if (known !== undefined) return known;
    const created = {...UNKNOWN_MEMBER};
    this.estimates.set(member, created);
    return created;
  }
}
