import {TimerService} from '@apricotlock/timer';

/** The weight of the newest duration in a moving average. */
const MEAN_WEIGHT = 0.1;
/**
 * The largest window, as a multiple of the slots. Work that waits at the member
 * is served in the order of its arrival there, whatever its priority, so that
 * only about a round trip of work may be sent in advance.
 */
export const LARGEST_WINDOW_FACTOR = 2;
/** For this long after the member refused a statement, no more than its slots. */
const SHED_PAUSE_MILLISECONDS = 1_000;

/** Options of a statement window. */
export interface StatementWindowOptions {
  /** The number of statements that the member runs at once. */
  readonly slots: number;
  readonly timer: TimerService;
}

/**
 * Decides how many statements one VM has under way to a member at once.
 *
 * Load pattern: statements that take about as long as their messages. If no
 * more statements were under way than the member has slots, each slot would be
 * idle for a round trip after each statement. The window is the number that
 * keeps all slots busy: the slots, times the whole time of a statement over the
 * time that it spends at the member. If statements wait at the member, they
 * spend more time there, and the window shrinks again.
 */
export class StatementWindow {
  private roundTripMilliseconds: number | undefined;
  private statementMilliseconds: number | undefined;
  private shedUntil = -Infinity;

  private constructor(private readonly options: StatementWindowOptions) {}

  /** Creates a window of the member's slots. */
  static create(options: StatementWindowOptions): StatementWindow {
    return new StatementWindow(options);
  }

  /** The number of statements that may be under way at once. */
  get size(): number {
    const {slots, timer} = this.options;
    const {roundTripMilliseconds, statementMilliseconds} = this;
    if (roundTripMilliseconds === undefined) return slots;
    if (statementMilliseconds === undefined) return slots;
    if (timer.now() < this.shedUntil) return slots;
    const atMember = statementMilliseconds - roundTripMilliseconds;
    const factor =
      atMember > 0 ? statementMilliseconds / atMember : LARGEST_WINDOW_FACTOR;
    return Math.round(slots * Math.min(LARGEST_WINDOW_FACTOR, factor));
  }

  /** Records the time to the answer of a command that needs no slot. */
  recordRoundTrip(milliseconds: number): void {
    this.roundTripMilliseconds = mean(this.roundTripMilliseconds, milliseconds);
  }

  /** Records the time to the answer of a statement that the member ran. */
  recordStatement(milliseconds: number): void {
    this.statementMilliseconds = mean(this.statementMilliseconds, milliseconds);
  }

  /** Records that the member refused a statement because its queue is full. */
  recordShed(): void {
    this.shedUntil = this.options.timer.now() + SHED_PAUSE_MILLISECONDS;
  }
}

function mean(known: number | undefined, newest: number): number {
  return known === undefined ? newest : known + (newest - known) * MEAN_WEIGHT;
}
