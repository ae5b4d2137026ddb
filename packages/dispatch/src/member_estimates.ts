import {comparePositions, LogPosition} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';

/** How long the expected wait that a member reported stays valid. */
const LOAD_VALIDITY_MILLISECONDS = 200;
/** How long a member is avoided after a failure. */
const AVOID_MILLISECONDS = 400;
/** An observed lag counts for half as much after each period of this length. */
const LAG_HALF_LIFE_MILLISECONDS = 1_000;

interface MemberEstimate {
  readonly position: LogPosition | undefined;
  readonly lagMilliseconds: number;
  readonly lagAt: number;
  readonly waitMilliseconds: number;
  readonly waitAt: number;
  readonly avoidUntil: number;
}

const UNKNOWN_MEMBER: MemberEstimate = {
  position: undefined,
  lagMilliseconds: 0,
  lagAt: -Infinity,
  waitMilliseconds: 0,
  waitAt: -Infinity,
  avoidUntil: -Infinity,
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
    const known = this.estimateFor(member);
    this.estimates.set(member, {
      ...known,
      position: position ?? known.position,
      waitMilliseconds,
      waitAt: this.timer.now(),
    });
  }

  /**
   * Records that a member lacked a position that the primary had reached
   * `lagMilliseconds` ago.
   */
  recordLag(member: string, lagMilliseconds: number): void {
    const lagAt = this.timer.now();
    const known = this.estimateFor(member);
    this.estimates.set(member, {...known, lagMilliseconds, lagAt});
  }

  /**
   * Records that a member refused work that would have had to wait
   * `waitMilliseconds` there.
   */
  recordRefusal(member: string, waitMilliseconds: number): void {
    const known = this.estimateFor(member);
    const waitAt = this.timer.now();
    this.estimates.set(member, {...known, waitMilliseconds, waitAt});
  }

  /** Records that a member could not be used. */
  recordFailure(member: string): void {
    const avoidUntil = this.timer.now() + AVOID_MILLISECONDS;
    this.estimates.set(member, {...this.estimateFor(member), avoidUntil});
  }

  /** Returns whether the member should be used only if there are no others. */
  isAvoided(member: string): boolean {
    return this.timer.now() < this.estimateFor(member).avoidUntil;
  }

  /** Returns how long new work would wait at the member, in milliseconds. */
  expectedWaitMilliseconds(member: string): number {
    const {waitMilliseconds, waitAt} = this.estimateFor(member);
    const age = this.timer.now() - waitAt;
    return age > LOAD_VALIDITY_MILLISECONDS ? 0 : waitMilliseconds;
  }

  /**
   * Returns whether the member certainly or probably has a position that the
   * primary had reached `floorAgeMilliseconds` ago.
   */
  probablyHasPosition(
    member: string,
    floor: LogPosition | undefined,
    floorAgeMilliseconds: number,
  ): boolean {
    if (floor === undefined) return true;
    const {position, lagMilliseconds, lagAt} = this.estimateFor(member);
    if (position !== undefined && comparePositions(position, floor) >= 0) {
      return true;
    }
    const halfLives = (this.timer.now() - lagAt) / LAG_HALF_LIFE_MILLISECONDS;
    return floorAgeMilliseconds > lagMilliseconds * 0.5 ** halfLives;
  }

  private estimateFor(member: string): MemberEstimate {
    return this.estimates.get(member) ?? UNKNOWN_MEMBER;
  }
}
