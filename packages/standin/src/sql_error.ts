import {SqlStateCode} from '@apricotlock/wire';

/**
 * A statement's failure. It is thrown inside the stand-in's interpreter, which
 * unwinds many levels at once, and caught by the connection's task.
 */
export class SqlError extends Error {
  private constructor(
    readonly code: SqlStateCode,
    message: string,
  ) {
    super(message);
  }

  /** A failure with its SQLSTATE. */
  static of(code: SqlStateCode, message: string): SqlError {
    return new SqlError(code, message);
  }
}
