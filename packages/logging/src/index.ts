/**
 * Structured logs.
 *
 * @packageDocumentation
 */
export {Logger, type LogFields, type LogFormat} from './logger.js';
