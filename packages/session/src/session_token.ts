import {Either, Left} from 'purify-ts';
import {
  formatPosition,
  laterPosition,
  parsePosition,
  Position,
} from './position.js';

const TOKEN_VERSION = '1';
const TERM_PATTERN = /^[0-9]{1,15}$/;
const DATABASE_PATTERN = /^[A-Za-z0-9_.-]{1,63}$/;

/** A text that should have been a session token, and is not. */
export interface SessionTokenError {
  readonly kind: 'malformedSessionToken';
  readonly text: string;
}

/**
 * What a session has seen of one database: every later read must show at
 * least this. It travels with the caller, so that no proxy keeps any state of
 * a session for another.
 */
export class SessionToken {
  private constructor(
    readonly database: string,
    /** The term in which the position was confirmed or read. */
    readonly term: number,
    readonly position: Position,
  ) {}

  /** A token for what was seen at `position` in `term`. */
  static of(database: string, term: number, position: Position): SessionToken {
    return new SessionToken(database, term, position);
  }

  /** Reads the text form that {@link SessionToken.toString} writes. */
  static parse(text: string): Either<SessionTokenError, SessionToken> {
    const error: SessionTokenError = {kind: 'malformedSessionToken', text};
    const [version, database, term, lsn, ...rest] = text.split(':');
    if (version !== TOKEN_VERSION || rest.length > 0) return Left(error);
    if (database === undefined || !DATABASE_PATTERN.test(database)) {
      return Left(error);
    }
    if (term === undefined || !TERM_PATTERN.test(term)) return Left(error);
    return parsePosition(lsn ?? '')
      .map(position => new SessionToken(database, Number(term), position))
      .mapLeft(() => error);
  }

  /** Whether the token already asks for at least this. */
  covers(term: number, position: Position): boolean {
    return this.term >= term && this.position >= position;
  }

  /** The token that asks for all that both ask for. */
  merge(other: SessionToken): SessionToken {
    return new SessionToken(
      this.database,
      Math.max(this.term, other.term),
      laterPosition(this.position, other.position),
    );
  }

  /** The text form, for `SET apricotlock.session`. */
  toString(): string {
    const lsn = formatPosition(this.position);
    return [TOKEN_VERSION, this.database, this.term, lsn].join(':');
  }
}
