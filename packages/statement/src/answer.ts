import {LogPosition} from './log_position.js';
import {SessionState} from './statement.js';

/** The reasons for which a member does not complete a statement. */
export type MemberErrorKind =
  /** The member has no free slot and its queue is full; nothing was run. */
  | 'busy'
  /** The member's log has not reached the minimum position; nothing was run. */
  | 'behind'
  /** The member is not the primary; nothing was run. */
  | 'readOnly'
  /** The prepared statement is unknown to the member; nothing was run. */
  | 'unknownStatement'
  /** The member ran the statement, and the statement failed. */
  | 'failed'
  /** The member aborted the statement while it ran. */
  | 'timeout'
  /** Any other error, which is forwarded to the caller unchanged. */
  | 'other';

/** An error reported by a member. */
export interface MemberError {
  readonly kind: MemberErrorKind;
  /** The member's own error code, forwarded unchanged. */
  readonly code: string;
  readonly text: string;
}

/** The end of an answer: completion or an error. */
export type AnswerEnd =
  /** The `signature` proves to the caller which member ran the statement. */
  | {readonly kind: 'complete'; readonly signature: string}
  | {readonly kind: 'error'; readonly error: MemberError};

/** The complete answer of a member to one command. */
export interface StatementAnswer {
  /** One text per row, in which each character is one byte on the wire. */
  readonly rows: readonly string[];
  readonly end: AnswerEnd;
  readonly state: SessionState;
  /** The member's log position; `undefined` if the answer has none. */
  readonly position: LogPosition | undefined;
}

/** Returns whether an error guarantees that the member ran nothing. */
export function wasNotRun({kind}: MemberError): boolean {
  return (
    kind === 'busy' ||
    kind === 'behind' ||
    kind === 'readOnly' ||
    kind === 'unknownStatement'
  );
}
