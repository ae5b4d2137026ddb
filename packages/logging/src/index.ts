/**
 * Structured logs.
 *
 * @packageDocumentation
 */
export {LineLimit} from './line_limit.js';
export {LogOutput, StandardOutput} from './log_output.js';
export {Logger, type LogFields, type LogFormat} from './logger.js';
