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

/** The error for text that is not a valid session token. */
export interface SessionTokenError {
  readonly kind: 'malformedSessionToken';
  readonly text: string;
}

/**
 * The log position up to which a session has seen one database. Later reads of
 * the session must show at least this position. The caller carries the token,
 * so that proxies need not share the state of sessions.
 */
export class SessionToken {
  private constructor(
    readonly database: string,
    /** The term in which the position was confirmed or read. */
    readonly term: number,
    readonly position: Position,
  ) {}

  /** Creates a token for data that was seen at `position` in `term`. */
  static of(database: string, term: number, position: Position): SessionToken {
    return new SessionToken(database, term, position);
  }

  /** Parses the text form that {@link SessionToken.toString} returns. */
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

  /** Returns whether the token already requires this term and position. */
  covers(term: number, position: Position): boolean {
    return this.term >= term && this.position >= position;
  }

  /**
   * Returns a token for the same database that requires at least what this and
   * `other` require.
   */
  merge(other: SessionToken): SessionToken {
    return new SessionToken(
      this.database,
      Math.max(this.term, other.term),
      laterPosition(this.position, other.position),
    );
  }

  /** Returns the text form, for `SET apricotlock.session`. */
  toString(): string {
    const lsn = formatPosition(this.position);
    return [TOKEN_VERSION, this.database, this.term, lsn].join(':');
  }
}
