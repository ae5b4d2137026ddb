import {attemptQueueMilliseconds} from './wait_policy.js';

/** Successive multiples of this, modulo 1, are spread evenly from 0 to 1. */
const GOLDEN_RATIO = 0.6180339887498949;
/** Callers are spread over this part of the announced wait, after its end. */
const SPREAD_SHARE = 0.5;

/** A statement that every member has refused, announcing a wait. */
export interface RefusedByAll {
  /** The shortest wait that is left of those that the members announced. */
  readonly announcedWaitMilliseconds: number;
  /** Until the time limit of the statement. */
  readonly remainingMilliseconds: number;
  /** Until its answer misses the objective; 0 if it is late already. */
  readonly remainingObjectiveMilliseconds: number;
  /** The longest time that it may wait in a queue. */
  readonly queueMilliseconds: number;
}

/**
 * Returns whether no member can serve a statement within its time limit, so
 * that it is refused at once. While an overload lasts for longer than single
 * statements, such a statement would otherwise be tried repeatedly until its
 * deadline, and its caller would learn only then that it was not run.
 *
 * A statement that a queue would still serve within its objective is never
 * refused at once, and neither is one that may wait for as long as announced.
 */
export function cannotBeServed({
  announcedWaitMilliseconds,
  remainingMilliseconds,
  remainingObjectiveMilliseconds,
  queueMilliseconds,
}: RefusedByAll): boolean {
  if (announcedWaitMilliseconds < remainingObjectiveMilliseconds) return false;
  const longest = attemptQueueMilliseconds(
    queueMilliseconds,
    remainingMilliseconds,
  );
  return announcedWaitMilliseconds > longest;
}

/**
 * Spreads the return of refused callers over the time after the announced wait,
 * because those who were refused in one burst would otherwise arrive as one
 * burst again.
 */
export class RetrySpread {
  private constructor(private fraction: number) {}

  /**
   * Creates a spread that begins at a fraction from 0 to 1, which should differ
   * between VMs.
   */
  static startingAt(fraction: number): RetrySpread {
    return new RetrySpread(fraction);
  }

  /** Returns the retry time of the next refused caller, in milliseconds. */
  next(announcedWaitMilliseconds: number): number {
    this.fraction = (this.fraction + GOLDEN_RATIO) % 1;
    const spread = 1 + this.fraction * SPREAD_SHARE;
    return Math.ceil(announcedWaitMilliseconds * spread);
  }
}
