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

/** Between which times a member reported its position. */
export interface ReportTimes {
  readonly requestedAt: number;
  readonly receivedAt: number;
}

/** A position at which the primary was seen. */
interface Point {
  readonly position: LogPosition;
  /** When the first report with the position was received. */
  readonly firstAt: number;
  /** When the last report with the position was requested. */
  readonly lastAt: number;
}

/**
 * The recent positions of the primary of each group, with the times at which
 * they were seen. A position in an answer of a replica lies between two of
 * them, which bounds the lag of the replica. Each VM sees few answers of each
 * member, so every answer has to yield a bound, not only failures of members
 * that were behind. The bounds hold however long this VM waited for its
 * processor, as they use the times of requests and answers separately.
 */
export class PrimaryTimeline {
  private readonly points = new Map<string, Point[]>();

  private constructor() {}

  /** Creates a timeline without any positions. */
  static create(): PrimaryTimeline {
    return new PrimaryTimeline();
  }

  /** Records a position that the primary of a group reported. */
  record(
    database: string,
    position: LogPosition,
    {requestedAt, receivedAt}: ReportTimes,
  ): void {
    let points = this.points.get(database);
    if (points === undefined) {
      points = [];
      this.points.set(database, points);
    }
    const last = points[points.length - 1];
    if (last === undefined) {
      points.push({position, firstAt: receivedAt, lastAt: requestedAt});
      return;
    }
    const difference = comparePositions(position, last.position);
    if (difference < 0 || requestedAt < last.lastAt) return;
    if (difference === 0) {
      points[points.length - 1] = {...last, lastAt: requestedAt};
      return;
    }
    // A failover may have lost records of the earlier term.
    if (position.term > last.position.term) points.length = 0;
    else if (requestedAt - last.lastAt < MINIMUM_SPACING_MILLISECONDS) return;
    points.push({position, firstAt: receivedAt, lastAt: requestedAt});
    if (points.length > MAXIMUM_POINTS) points.shift();
  }

  /** Returns what the position that a member reported says about its lag. */
  lagBounds(
    database: string,
    position: LogPosition,
    {requestedAt, receivedAt}: ReportTimes,
  ): LagBounds {
    const points = this.points.get(database) ?? [];
    let atLeast = 0;
    for (let index = points.length - 1; index >= 0; index--) {
      const point = points[index] as Point;
      const difference = comparePositions(point.position, position);
      if (difference > 0) {
        atLeast = Math.max(0, requestedAt - point.firstAt);
      }
      if (difference < 0) {
        const atMost = Math.max(atLeast, receivedAt - point.lastAt);
        return {atLeast, atMost};
      }
    }
    return {atLeast, atMost: Infinity};
  }
}
