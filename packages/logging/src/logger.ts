import {performance} from 'node:perf_hooks';
import {
  createConsola,
  type ConsolaInstance,
  type LogObject,
} from 'consola/core';
import {LineRateLimiter} from './line_rate_limiter.js';
import {LogOutput, StandardOutput} from './log_output.js';

type Level = 'error' | 'warn' | 'info' | 'debug';

/** The numbers that consola gives to the levels. */
const LEVELS: Readonly<Record<Level, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};
const SILENT_LEVEL = -999;

/** Named values of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** The format of log lines: readable text, or one JSON object per line. */
export type LogFormat = 'text' | 'json';

/**
 * Writes structured log lines, by default to standard output. Lines with the
 * same message are rate limited; the field `suppressed` of a line reports how
 * many were suppressed before it.
 */
export class Logger {
  private constructor(
    private readonly sink: ConsolaInstance,
    private readonly rateLimiter: LineRateLimiter,
    private readonly fields: LogFields,
  ) {}

  /** Creates the logger of a process; `level` is consola's (3 is `info`). */
  static create(
    format: LogFormat,
    level: number,
    output: LogOutput = StandardOutput.create(),
  ): Logger {
    const reporters = [reporterFor(format, output)];
    const throttle = 0;
    const sink = createConsola({level, reporters, throttle});
    process.once('exit', () => output.flush());
    return new Logger(
      sink,
      LineRateLimiter.create(() => performance.now()),
      {},
    );
  }

  /** Creates a logger that writes nothing. */
  static silent(): Logger {
    const sink = createConsola({level: SILENT_LEVEL, reporters: []});
    return new Logger(
      sink,
      LineRateLimiter.create(() => 0),
      {},
    );
  }

  /** Returns a logger that adds `fields` to every line. */
  withFields(fields: LogFields): Logger {
    return new Logger(this.sink, this.rateLimiter, {...this.fields, ...fields});
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
    if (LEVELS[level] > this.sink.level) return;
    const suppressed = this.rateLimiter.admit(message);
    if (suppressed === undefined) return;
    const suppression = suppressed > 0 ? {suppressed} : {};
    this.sink[level](message, {...this.fields, ...fields, ...suppression});
  }
}

interface Reporter {
  log(line: LogObject): void;
}

function reporterFor(format: LogFormat, output: LogOutput): Reporter {
  const render = format === 'json' ? renderJson : renderText;
  return {log: line => output.writeLine(render(line))};
}

function renderJson(line: LogObject): string {
  const [message, fields] = line.args as [string, LogFields];
  return JSON.stringify({
    time: line.date.toISOString(),
    level: line.type,
    message,
    ...fields,
  });
}

function renderText(line: LogObject): string {
  const [message, fields] = line.args as [string, LogFields];
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  return [line.date.toISOString(), line.type, message, ...pairs].join(' ');
}
