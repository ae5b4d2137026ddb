import {Either} from 'purify-ts';
import {MemberError, StatementAnswer} from './answer.js';
import {LogPosition} from './log_position.js';
import {SessionState, Statement} from './statement.js';

/** One request of a caller. */
export interface CallerRequest {
  readonly id: string;
  /** `Left` with a reason if the text is no statement. */
  readonly statement: Either<string, Statement>;
}

/** Why a caller's request has no answer from a member. */
export type CallerFailure =
  /** Nothing was run; the same request may work after a while. */
  | {
      readonly kind: 'notRun';
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
    }
  /** The transaction was rolled back. */
  | {readonly kind: 'rolledBack'; readonly reason: string}
  /** It may or may not have been run. */
  | {readonly kind: 'unknown'; readonly reason: string}
  /** The time for one statement ran out; it may have been run. */
  | {readonly kind: 'timeout'; readonly reason: string}
  /** No catalogue entry has the name; nothing was run. */
  | {readonly kind: 'unknownDatabase'; readonly database: string}
  /** The session has no such prepared name; nothing was run. */
  | {readonly kind: 'unknownStatement'; readonly name: string}
  /** The request makes no sense, or not in this state; nothing was run. */
  | {readonly kind: 'malformed'; readonly reason: string}
  /** What a member reported, passed on. */
  | {readonly kind: 'member'; readonly error: MemberError};

/** What a caller is told. */
export type CallerAnswer =
  /** Answered by the session itself. */
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

/** A caller's connection, in whatever protocol it speaks. */
export abstract class CallerLink {
  /** Resolves once the connection has ended. */
  abstract readonly ended: Promise<void>;

  /** The database that the caller wants; `undefined` if it never says so. */
  abstract start(): Promise<string | undefined>;

  /** Tells the caller that its session has begun. */
  abstract accept(): void;

  /** Tells the caller why there is no session, and closes. */
  abstract reject(failure: CallerFailure): void;

  /** The next request, or `undefined` once there is no more. */
  abstract receive(): Promise<CallerRequest | undefined>;

  /** Answers the request that was received last. */
  abstract answer(answer: CallerAnswer): void;

  /** Closes after everything that was answered has been sent. */
  abstract close(): void;
}
