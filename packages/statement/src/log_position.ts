/** A place in a database group's log, as its members count it. */
export interface LogPosition {
  /** The members' own term in which the record was written. */
  readonly term: number;
  /** The number of the record, counted over all terms. */
  readonly number: number;
}

/** Negative if `left` is the earlier place, 0 if both are the same. */
export function comparePositions(
  left: LogPosition,
  right: LogPosition,
): number {
  return left.term - right.term || left.number - right.number;
}

/** The later of two places; `undefined` stands before every place. */
export function laterPosition(
  left: LogPosition | undefined,
  right: LogPosition | undefined,
): LogPosition | undefined {
  if (left === undefined) return right;
  if (right === undefined) return left;
  return comparePositions(left, right) >= 0 ? left : right;
}
