/**
 * Statements, answers and log positions that callers, sessions and members
 * exchange, independent of the wire protocol, and the abstract classes that a
 * protocol implements.
 *
 * @packageDocumentation
 */
export {
  wasNotRun,
  type AnswerEnd,
  type MemberError,
  type MemberErrorKind,
  type StatementAnswer,
} from './answer.js';
export {
  CallerConnection,
  type CallerAnswer,
  type CallerFailure,
  type CallerRequest,
  type SessionStart,
} from './caller_connection.js';
export {
  comparePositions,
  laterPosition,
  type LogPosition,
} from './log_position.js';
export {
  MemberConnection,
  MemberConnector,
  type ConnectError,
  type ConnectionError,
  type MemberCommand,
  type MemberReport,
  type MemberTarget,
} from './member_connection.js';
export {
  type Access,
  type PreparedStatement,
  type SessionState,
  type SessionValues,
  type Statement,
} from './statement.js';
