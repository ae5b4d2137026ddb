/**
 * Log positions, and the tokens that carry what a session has seen from one
 * proxy to another.
 *
 * @packageDocumentation
 */
export {
  formatPosition,
  laterPosition,
  parsePosition,
  POSITION_ZERO,
  type Position,
  type PositionError,
} from './position.js';
export {SessionToken, type SessionTokenError} from './session_token.js';
