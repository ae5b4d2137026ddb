import {Logger} from '@apricotlock/logging';
import {TimerService} from '@apricotlock/timer';

/** What one VM's queue for a member did in one period; means are in ms. */
export interface MemberLoadReport {
  readonly periodMilliseconds: number;
  /** Statements that got a slot, and those that released theirs. */
  readonly started: number;
  readonly ended: number;
  readonly refused: number;
  /** Connections that were opened. */
  readonly opened: number;
  /** How long statements waited for their slot, and then held it. */
  readonly meanWaitMilliseconds: number;
  readonly meanHeldMilliseconds: number;
  /** Mean time to the answer of a command for which the member needs no slot. */
  readonly meanRoundTripMilliseconds: number | undefined;
}

/** A sum of durations and their number. */
class Durations {
  private sumMilliseconds = 0;
  private number = 0;

  get count(): number {
    return this.number;
  }

  get mean(): number | undefined {
    return this.number === 0 ? undefined : this.sumMilliseconds / this.number;
  }

  record(milliseconds: number): void {
    this.number += 1;
    this.sumMilliseconds += milliseconds;
  }
}

/**
 * Counts what a VM's queue for one member does, one period after the other. The
 * time for which a slot is held, beside the round trip, tells a member that is
 * busy from one whose slots are idle while messages are under way.
 */
export class MemberLoad {
  private since: number;
  private waits = new Durations();
  private holds = new Durations();
  private roundTrips = new Durations();
  private refused = 0;
  private opened = 0;

  private constructor(private readonly timer: TimerService) {
    this.since = timer.now();
  }

  /** Creates an instance whose first period begins now. */
  static create(timer: TimerService): MemberLoad {
    return new MemberLoad(timer);
  }

  /** Records that a statement got its slot after a wait. */
  recordStart(waitMilliseconds: number): void {
    this.waits.record(waitMilliseconds);
  }

  /** Records that a statement released a slot that it had held. */
  recordEnd(heldMilliseconds: number): void {
    this.holds.record(heldMilliseconds);
  }

  /** Records the time to the answer of a command that needs no slot. */
  recordRoundTrip(milliseconds: number): void {
    this.roundTrips.record(milliseconds);
  }

  /** Records that work was refused. */
  recordRefusal(): void {
    this.refused += 1;
  }

  /** Records that a connection was opened. */
  recordOpened(): void {
    this.opened += 1;
  }

  /**
   * Ends the period and returns its report, `undefined` if nothing happened in
   * it.
   */
  endPeriod(): MemberLoadReport | undefined {
    const {waits, holds, roundTrips, refused, opened, since} = this;
    const now = this.timer.now();
    this.since = now;
    this.waits = new Durations();
    this.holds = new Durations();
    this.roundTrips = new Durations();
    this.refused = 0;
    this.opened = 0;
    if (waits.count + holds.count + refused + opened === 0) return undefined;
    return {
      periodMilliseconds: now - since,
      started: waits.count,
      ended: holds.count,
      refused,
      opened,
      meanWaitMilliseconds: waits.mean ?? 0,
      meanHeldMilliseconds: holds.mean ?? 0,
      meanRoundTripMilliseconds: roundTrips.mean,
    };
  }
}

/** The state of a VM's queue and connections to a member. */
export interface MemberLoadState {
  readonly member: string;
  readonly database: string;
  /** How many statements the member runs at once. */
  readonly slots: number;
  /** How many this VM has under way to it at once. */
  readonly window: number;
  /** How many wait for a slot. */
  readonly waiting: number;
  /** Connections that are open or being opened. */
  readonly connections: number;
}

/** Logs the report of a period, if there is one, and the state at its end. */
export function logMemberLoad(
  logger: Logger,
  report: MemberLoadReport | undefined,
  state: MemberLoadState,
): void {
  if (report === undefined) return;
  const {started, ended, refused, opened} = report;
  const roundTrip = report.meanRoundTripMilliseconds;
  logger.info('load of a member', {
    ...state,
    period: Math.round(report.periodMilliseconds),
    started,
    ended,
    refused,
    opened,
    meanWait: roundToTenth(report.meanWaitMilliseconds),
    meanHeld: roundToTenth(report.meanHeldMilliseconds),
    meanRoundTrip: roundTrip && roundToTenth(roundTrip),
  });
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}
