import {comparePositions, LogPosition} from '@apricotlock/statement';

/** The number of positions that are kept for each group. */
const MAXIMUM_POINTS = 48;
/** Closer points add little, and would shorten the time that is covered. */
const MINIMUM_SPACING_MILLISECONDS = 50;

/** Bounds on the lag of a member, in milliseconds. */
export interface LagBounds {
  readonly atLeast: number;
  readonly atMost: number;
}

/** A position at which the primary was seen, from the first to the last time. */
interface Point {
  readonly position: LogPosition;
  readonly firstAt: number;
  readonly lastAt: number;
}

/**
 * The recent positions of the primary of each group, with the times at which
 * they were seen. A position in an answer of a replica lies between two of them,
 * which bounds the lag of the replica. Load pattern: each VM sees few answers of
 * each member, so every answer has to yield a bound, not only those that failed
 * because the member was behind.
 */
export class PrimaryTimeline {
  private readonly points = new Map<string, Point[]>();

  private constructor() {}

  /** Creates a timeline without any positions. */
  static create(): PrimaryTimeline {
    return new PrimaryTimeline();
  }

  /** Records that the primary of a group had a position at a given time. */
  record(database: string, position: LogPosition, at: number): void {
    let points = this.points.get(database);
    if (points === undefined) {
      points = [];
      this.points.set(database, points);
    }
    const last = points[points.length - 1];
    if (last === undefined) {
      points.push({position, firstAt: at, lastAt: at});
      return;
    }
    const difference = comparePositions(position, last.position);
    if (difference < 0 || at < last.lastAt) return;
    if (difference === 0) {
      points[points.length - 1] = {...last, lastAt: at};
      return;
    }
    // A failover may have lost records of the earlier term.
    if (position.term > last.position.term) points.length = 0;
    else if (at - last.lastAt < MINIMUM_SPACING_MILLISECONDS) return;
    points.push({position, firstAt: at, lastAt: at});
    if (points.length > MAXIMUM_POINTS) points.shift();
  }

  /** Returns what a member's position at a given time says about its lag. */
  lagBounds(database: string, position: LogPosition, now: number): LagBounds {
    const points = this.points.get(database) ?? [];
    let atLeast = 0;
    for (let index = points.length - 1; index >= 0; index--) {
      const point = points[index] as Point;
      const difference = comparePositions(point.position, position);
      if (difference > 0) atLeast = Math.max(0, now - point.firstAt);
      if (difference < 0) {
        const atMost = Math.max(atLeast, now - point.lastAt);
        return {atLeast, atMost};
      }
    }
    return {atLeast, atMost: Infinity};
  }
}
