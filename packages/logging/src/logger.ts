import {performance} from 'node:perf_hooks';
import {LineRateLimiter} from './line_rate_limiter.js';
import {JsonSink, Level, LineSink, LogFields, TextSink} from './line_sink.js';
import {LogOutput, StandardOutput} from './log_output.js';

/** The numbers that consola gives to the levels. */
const LEVELS: Readonly<Record<Level, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};
const SILENT_LEVEL = -999;

/** The format of log lines: readable text, or one JSON object per line. */
export type LogFormat = 'text' | 'json';

/**
 * Writes structured log lines, by default to standard output. Lines with the
 * same message are rate limited; the field `suppressed` of a line reports how
 * many were suppressed before it.
 */
export class Logger {
  private constructor(
    private readonly sink: LineSink,
    private readonly level: number,
    private readonly rateLimiter: LineRateLimiter,
    private readonly fields: LogFields,
  ) {}

  /** Creates the logger of a process; `level` is consola's (3 is `info`). */
  static create(
    format: LogFormat,
    level: number,
    output: LogOutput = StandardOutput.create(),
  ): Logger {
    const sink =
      format === 'json' ? JsonSink.create(output) : TextSink.create(output);
    process.once('exit', () => output.flush());
    return new Logger(
      sink,
      level,
      LineRateLimiter.create(() => performance.now()),
      {},
    );
  }

  /** Creates a logger that writes nothing. */
  static silent(): Logger {
    const sink = JsonSink.create(StandardOutput.create());
    return new Logger(
      sink,
      SILENT_LEVEL,
      LineRateLimiter.create(() => 0),
      {},
    );
  }

  /** Returns a logger that adds `fields` to every line. */
  withFields(fields: LogFields): Logger {
    const {sink, level, rateLimiter} = this;
    return new Logger(sink, level, rateLimiter, {...this.fields, ...fields});
  }

  /** Logs details that help to investigate a fault. */
  debug(message: string, fields: LogFields = {}): void {
    this.write('debug', message, fields);
  }

  /** Logs an event of normal operation. */
  info(message: string, fields: LogFields = {}): void {
    this.write('info', message, fields);
  }

  /** Logs a problem from which the process recovers by itself. */
  warn(message: string, fields: LogFields = {}): void {
    this.write('warn', message, fields);
  }

  /** Logs a problem that needs the attention of an operator. */
  error(message: string, fields: LogFields = {}): void {
    this.write('error', message, fields);
  }

  /** Checks level and rate limit first, so that suppressed lines are cheap. */
  private write(level: Level, message: string, fields: LogFields): void {
    if (LEVELS[level] > this.level) return;
    const suppressed = this.rateLimiter.admit(message);
    if (suppressed === undefined) return;
    const own = suppressed > 0 ? {...fields, suppressed} : fields;
    this.sink.write(level, message, {...this.fields, ...own});
  }
}
