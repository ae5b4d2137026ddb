import {
  createConsola,
  type ConsolaInstance,
  type LogObject,
} from 'consola/core';
import {LogOutput} from './log_output.js';

/** How severe an event is. */
export type Level = 'error' | 'warn' | 'info' | 'debug';

/** Named values of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Formats log lines and passes them to an output. */
export abstract class LineSink {
  abstract write(level: Level, message: string, fields: LogFields): void;
}

/**
 * Writes one JSON object per line. Lines of each statement are in this format,
 * and formatting them here costs a small part of what it costs in consola.
 */
export class JsonSink extends LineSink {
  private constructor(private readonly output: LogOutput) {
    super();
  }

  /** Creates a sink that writes to `output`. */
  static create(output: LogOutput): JsonSink {
    return new JsonSink(output);
  }

  override write(level: Level, message: string, fields: LogFields): void {
    const time = new Date().toISOString();
    const text = JSON.stringify({time, level, message, ...fields});
    this.output.writeLine(text, level === 'error');
  }
}

/** Writes readable lines. */
export class TextSink extends LineSink {
  private constructor(private readonly consola: ConsolaInstance) {
    super();
  }

  /** Creates a sink that writes to `output`. */
  static create(output: LogOutput): TextSink {
    const reporter = {
      log: (line: LogObject) =>
        output.writeLine(renderText(line), line.type === 'error'),
    };
    // The logger has already checked the level and limited the rate.
    const options = {level: Infinity, throttle: 0, reporters: [reporter]};
    return new TextSink(createConsola(options));
  }

  override write(level: Level, message: string, fields: LogFields): void {
    this.consola[level](message, fields);
  }
}

function renderText(line: LogObject): string {
  const [message, fields] = line.args as [string, LogFields];
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  return [line.date.toISOString(), line.type, message, ...pairs].join(' ');
}
