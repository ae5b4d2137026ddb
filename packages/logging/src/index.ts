/**
 * Structured logging with rate limits.
 *
 * @packageDocumentation
 */
export {LineRateLimiter} from './line_rate_limiter.js';
export {LogOutput, StandardOutput} from './log_output.js';
export {type LogFields} from './line_sink.js';
export {Logger, type LogFormat} from './logger.js';
