import {Either} from 'purify-ts';
import {MemberError, StatementAnswer} from './answer.js';
import {LogPosition} from './log_position.js';
import {SessionState, Statement} from './statement.js';

/** A request of a caller. */
export interface CallerRequest {
  readonly id: string;
  /** The parsed statement, or `Left` with the reason why it is invalid. */
  readonly statement: Either<string, Statement>;
}

/** What a caller names when its session starts. */
export interface SessionStart {
  readonly database: string;
  /** What identifies the caller, such as a key; a secret, never logged. */
  readonly credential: string | undefined;
}

/** The reasons for which a caller's request fails. */
export type CallerFailure =
  /** Nothing was run; the same request may succeed if it is sent later. */
  | {
      readonly kind: 'notRun';
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
    }
  /** The transaction was rolled back. */
  | {readonly kind: 'rolledBack'; readonly reason: string}
  /** The outcome is unknown: the statement may have been run. */
  | {readonly kind: 'unknown'; readonly reason: string}
  /** The statement exceeded its time limit; it may have been run. */
  | {readonly kind: 'timeout'; readonly reason: string}
  /** No catalogue entry has this name; nothing was run. */
  | {readonly kind: 'unknownDatabase'; readonly database: string}
  /** The caller's key is not, or no longer, valid; nothing was run. */
  | {readonly kind: 'unauthenticated'}
  /** The session has no prepared statement of this name; nothing was run. */
  | {readonly kind: 'unknownStatement'; readonly name: string}
  /**
   * The request is invalid or not allowed in the state of the session; nothing
   * was run.
   */
  | {readonly kind: 'malformed'; readonly reason: string}
  /** A member reported the error. */
  | {readonly kind: 'member'; readonly error: MemberError};

/** The answer to one request of a caller. */
export type CallerAnswer =
  /** The session completed the request without a member. */
  | {readonly kind: 'done'; readonly state: SessionState}
  | {
      readonly kind: 'member';
      readonly answer: StatementAnswer;
      readonly state: SessionState;
    }
  | {
      readonly kind: 'failure';
      readonly failure: CallerFailure;
      readonly state: SessionState;
      readonly position: LogPosition | undefined;
    };

/** A caller's connection, implemented once for each wire protocol. */
export abstract class CallerConnection {
  /** Resolves once the connection has ended. */
  abstract readonly ended: Promise<void>;

  /** Whether a request has been read that was not received yet. */
  abstract get hasPendingRequest(): boolean;

  /** Whether an answer has not been handed to the operating system yet. */
  abstract get hasUnsentAnswer(): boolean;

  /**
   * Waits for the start of the session. Resolves to what the caller names, or
   * `undefined` if it names no database.
   */
  abstract start(): Promise<SessionStart | undefined>;

  /** Confirms to the caller that its session has started. */
  abstract accept(): void;

  /** Reports why no session was started, and closes the connection. */
  abstract reject(failure: CallerFailure): void;

  /** Resolves to the next request, or `undefined` after the last one. */
  abstract receive(): Promise<CallerRequest | undefined>;

  /** Answers the most recently received request. */
  abstract answer(answer: CallerAnswer): void;

  /**
   * Resolves once everything that has arrived from the caller so far was read,
   * so that a request among it has been received.
   */
  abstract readArrived(): Promise<void>;

  /**
   * Closes the connection after all answers have been sent. Requests that were
   * not received by then are discarded, as they could not be answered.
   */
  abstract close(): void;
}
