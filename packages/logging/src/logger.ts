import {performance} from 'node:perf_hooks';
import {
  createConsola,
  type ConsolaInstance,
  type LogObject,
} from 'consola/core';
import {LineLimit} from './line_limit.js';
import {LogOutput, StandardOutput} from './log_output.js';

type Level = 'error' | 'warn' | 'info' | 'debug';

/** The levels' numbers, as consola has them. */
const LEVELS: Readonly<Record<Level, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};
const SILENT_LEVEL = -999;

/** Named values that belong to a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** How lines are written: for people, or one JSON object a line. */
export type LogFormat = 'text' | 'json';

/**
 * Writes structured lines to standard output. Lines of one message are bounded
 * in number; the field `suppressed` says how many were left out before one.
 */
export class Logger {
  private constructor(
    private readonly sink: ConsolaInstance,
    private readonly limit: LineLimit,
    private readonly fields: LogFields,
  ) {}

  /** A logger for a process; `level` is consola's (3 is information). */
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
      LineLimit.create(() => performance.now()),
      {},
    );
  }

  /** A logger that writes nothing. */
  static silent(): Logger {
    const sink = createConsola({level: SILENT_LEVEL, reporters: []});
    return new Logger(
      sink,
      LineLimit.create(() => 0),
      {},
    );
  }

  /** A logger whose every line also has `fields`. */
  with(fields: LogFields): Logger {
    return new Logger(this.sink, this.limit, {...this.fields, ...fields});
  }

  /** Something that a person who looks into a fault wants to see. */
  debug(message: string, fields: LogFields = {}): void {
    this.write('debug', message, fields);
  }

  /** Something that happens as it should. */
  info(message: string, fields: LogFields = {}): void {
    this.write('info', message, fields);
  }

  /** Something that the process gets over by itself. */
  warn(message: string, fields: LogFields = {}): void {
    this.write('warn', message, fields);
  }

  /** Something that a person has to look at. */
  error(message: string, fields: LogFields = {}): void {
    this.write('error', message, fields);
  }

  /** Lines that are left out cost next to nothing. */
  private write(level: Level, message: string, fields: LogFields): void {
    if (LEVELS[level] > this.sink.level) return;
    const suppressed = this.limit.admit(message);
    if (suppressed === undefined) return;
    const told = suppressed > 0 ? {suppressed} : {};
    this.sink[level](message, {...this.fields, ...fields, ...told});
  }
}

interface Reporter {
  log(line: LogObject): void;
}

function reporterFor(format: LogFormat, output: LogOutput): Reporter {
  const render = format === 'json' ? renderJson : renderText;
  return {log: line => output.line(render(line))};
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
