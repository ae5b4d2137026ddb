import {SqlStateCode} from '@apricotlock/wire';

/**
 * The failure of a statement. The interpreter throws it to unwind many levels
 * at once; the connection's session catches it.
 */
export class SqlError extends Error {
  private constructor(
    readonly code: SqlStateCode,
    message: string,
  ) {
    super(message);
  }

  /** Creates an error with an SQLSTATE. */
  static of(code: SqlStateCode, message: string): SqlError {
    return new SqlError(code, message);
  }
}
