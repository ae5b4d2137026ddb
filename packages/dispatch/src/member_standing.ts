import {comparePositions, LogPosition} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';

/** How long a member's expected wait is believed. */
const LOAD_MEMORY_MILLISECONDS = 200;
/** How long a member that could not be used is passed over. */
const AVOID_MILLISECONDS = 400;
/** A lag that was seen is believed less and less, by half in this time. */
const LAG_HALF_LIFE_MILLISECONDS = 1_000;

interface Standing {
  readonly position: LogPosition | undefined;
  readonly lagMilliseconds: number;
  readonly lagAt: number;
  readonly waitMilliseconds: number;
  readonly waitAt: number;
  readonly avoidUntil: number;
}

const UNKNOWN: Standing = {
  position: undefined,
  lagMilliseconds: 0,
  lagAt: -Infinity,
  waitMilliseconds: 0,
  waitAt: -Infinity,
  avoidUntil: -Infinity,
};

/** What this VM has learned of members from their answers. */
export class MemberStandings {
  private readonly standings = new Map<string, Standing>();

  private constructor(private readonly timer: TimerService) {}

  /** Nothing is known yet. */
  static create(timer: TimerService): MemberStandings {
    return new MemberStandings(timer);
  }

  /** A member answered; its log stood there, and new work would wait so. */
  answered(
    member: string,
    position: LogPosition | undefined,
    waitMilliseconds: number,
  ): void {
    const known = this.of(member);
    this.standings.set(member, {
      ...known,
      position: position ?? known.position,
      waitMilliseconds,
      waitAt: this.timer.now(),
    });
  }

  /** A member lacked what the primary had held so long ago. */
  wasBehind(member: string, lagMilliseconds: number): void {
    const lagAt = this.timer.now();
    const known = this.of(member);
    this.standings.set(member, {...known, lagMilliseconds, lagAt});
  }

  /** A member refused work, which would have waited so long. */
  refused(member: string, waitMilliseconds: number): void {
    const known = this.of(member);
    const waitAt = this.timer.now();
    this.standings.set(member, {...known, waitMilliseconds, waitAt});
  }

  /** A member could not be used. */
  failed(member: string): void {
    const avoidUntil = this.timer.now() + AVOID_MILLISECONDS;
    this.standings.set(member, {...this.of(member), avoidUntil});
  }

  /** Whether the member is to be passed over while others are there. */
  isAvoided(member: string): boolean {
    return this.timer.now() < this.of(member).avoidUntil;
  }

  /** How long new work would wait at the member, in milliseconds. */
  expectedWait(member: string): number {
    const {waitMilliseconds, waitAt} = this.of(member);
    const age = this.timer.now() - waitAt;
    return age > LOAD_MEMORY_MILLISECONDS ? 0 : waitMilliseconds;
  }

  /**
   * Whether the member surely or probably has a position that the primary
   * had reached so long ago.
   */
  probablyHas(
    member: string,
    floor: LogPosition | undefined,
    floorAgeMilliseconds: number,
  ): boolean {
    if (floor === undefined) return true;
    const {position, lagMilliseconds, lagAt} = this.of(member);
    if (position !== undefined && comparePositions(position, floor) >= 0) {
      return true;
    }
    const halves = (this.timer.now() - lagAt) / LAG_HALF_LIFE_MILLISECONDS;
    return floorAgeMilliseconds > lagMilliseconds * 0.5 ** halves;
  }

  private of(member: string): Standing {
    return this.standings.get(member) ?? UNKNOWN;
  }
}
