import {LogPosition} from './log_position.js';
import {SessionState} from './statement.js';

/** Why a member did not carry a statement out. */
export type MemberErrorKind =
  /** It has no free slot and no place in its queue; nothing was run. */
  | 'busy'
  /** Its log lacks the position that was asked for; nothing was run. */
  | 'behind'
  /** It is not the primary; nothing was run. */
  | 'readOnly'
  /** It knows no such prepared name; nothing was run. */
  | 'unknownStatement'
  /** It ran the statement, and it failed. */
  | 'failed'
  /** It gave the statement up while it ran. */
  | 'timeout'
  /** Another error, which is passed on as it is. */
  | 'other';

/** An error as a member reported it. */
export interface MemberError {
  readonly kind: MemberErrorKind;
  /** The member's own code, passed on unchanged. */
  readonly code: string;
  readonly text: string;
}

/** How an answer ends. */
export type AnswerEnd =
  /** `signature` proves to the caller which member ran the statement. */
  | {readonly kind: 'complete'; readonly signature: string}
  | {readonly kind: 'error'; readonly error: MemberError};

/** A member's whole answer to one command. */
export interface StatementAnswer {
  /** One row each; every character is one byte of the wire. */
  readonly rows: readonly string[];
  readonly end: AnswerEnd;
  readonly state: SessionState;
  /** Where the member's log stood; `undefined` if it did not say. */
  readonly position: LogPosition | undefined;
}

/** Errors that say that nothing was run. */
export function wasNotRun({kind}: MemberError): boolean {
  return (
    kind === 'busy' ||
    kind === 'behind' ||
    kind === 'readOnly' ||
    kind === 'unknownStatement'
  );
}
