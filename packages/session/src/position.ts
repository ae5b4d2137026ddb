import {Either, Left, Right} from 'purify-ts';

const LOW_BITS = 32n;
const LOW_MASK = 0xffffffffn;
const POSITION_PATTERN = /^([0-9A-Fa-f]{1,8})\/([0-9A-Fa-f]{1,8})$/;

/** A byte offset in the log of a database group, as in PostgreSQL. */
export type Position = bigint;

/** The position before the first record. */
export const POSITION_ZERO: Position = 0n;

/** The error for text that is not a valid log position. */
export interface PositionError {
  readonly kind: 'malformedPosition';
  readonly text: string;
}

/** Parses the text form of PostgreSQL's `pg_lsn`, such as `16/B374D848`. */
export function parsePosition(text: string): Either<PositionError, Position> {
  const match = POSITION_PATTERN.exec(text);
  if (match === null) return Left({kind: 'malformedPosition', text});
  const high = BigInt(`0x${match[1]}`);
  const low = BigInt(`0x${match[2]}`);
  return Right((high << LOW_BITS) | low);
}

/** Returns the text form of PostgreSQL's `pg_lsn`. */
export function formatPosition(position: Position): string {
  const high = (position >> LOW_BITS).toString(16).toUpperCase();
  const low = (position & LOW_MASK).toString(16).toUpperCase();
  return `${high}/${low}`;
}

/** Returns the later of two positions. */
export function laterPosition(left: Position, right: Position): Position {
  return left > right ? left : right;
}
