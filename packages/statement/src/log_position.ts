/** A position in the log of a database group, as its members number it. */
export interface LogPosition {
  /** The term of the members in which the record was written. */
  readonly term: number;
  /** The number of the record, counted across all terms. */
  readonly number: number;
}

/**
 * Compares two positions by term and then by number. Returns a negative number
 * if `left` is earlier, a positive one if it is later, and 0 if they are equal.
 */
export function comparePositions(
  left: LogPosition,
  right: LogPosition,
): number {
  return left.term - right.term || left.number - right.number;
}

/**
 * Returns the later of two positions. `undefined` is earlier than every
 * position.
 */
export function laterPosition(
  left: LogPosition | undefined,
  right: LogPosition | undefined,
): LogPosition | undefined {
  if (left === undefined) return right;
  if (right === undefined) return left;
  return comparePositions(left, right) >= 0 ? left : right;
}
