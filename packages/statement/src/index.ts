/**
 * What passes between callers, sessions and members, whatever protocol
 * carries it: statements, answers, log positions, and the two abstract classes
 * that a protocol implements.
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
  CallerLink,
  type CallerAnswer,
  type CallerFailure,
  type CallerRequest,
} from './caller_link.js';
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
