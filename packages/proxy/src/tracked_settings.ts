import {Either, Left, Right} from 'purify-ts';
import {queryMessage} from '@apricotlock/wire';

/** Values that every connection has already, or that change nothing it does. */
const BUILT_IN: Readonly<Record<string, RegExp>> = {
  application_name: /^[^\0]{0,200}$/,
  bytea_output: /^hex$/i,
  client_encoding: /^'?(utf-?8|unicode)'?$/i,
  client_min_messages: /^notice$/i,
  datestyle: /^iso(, *mdy)?$/i,
  extra_float_digits: /^[123]$/,
  intervalstyle: /^postgres$/i,
  standard_conforming_strings: /^(on|true|yes|1)$/i,
};

/** Settings that are set again on each connection that a session uses. */
const REPLAYED: ReadonlySet<string> = new Set([
  'bytea_output',
  'client_min_messages',
  'datestyle',
  'extra_float_digits',
  'intervalstyle',
  'lock_timeout',
  'search_path',
  'statement_timeout',
  'timezone',
]);

/** A setting that the proxy could not keep for a whole session. */
export interface TrackedSettingError {
  readonly kind: 'notKept';
  readonly name: string;
}

/**
 * The database settings of one session that differ from those of a fresh
 * connection. Each connection that the session gets is given them first, and
 * is reset before anybody else has it.
 */
export class TrackedSettings {
  /** The settings of a session that has set nothing. */
  static readonly NONE = new TrackedSettings(new Map());

  private constructor(
    private readonly values: ReadonlyMap<string, readonly string[]>,
  ) {}

  /** Whether connections have the value already, so that none needs it. */
  isBuiltIn(name: string, values: readonly string[]): boolean {
    const pattern = BUILT_IN[name.toLowerCase()];
    return pattern !== undefined && pattern.test(values.join(', '));
  }

  /** The settings after SET, or after RESET if there is no value. */
  with(
    name: string,
    values: readonly string[],
  ): Either<TrackedSettingError, TrackedSettings> {
    const key = name.toLowerCase();
    const changed = new Map(this.values);
    if (values.length === 0 || this.isBuiltIn(key, values)) {
      changed.delete(key);
      return Right(new TrackedSettings(changed));
    }
    if (!REPLAYED.has(key)) return Left({kind: 'notKept', name});
    changed.set(key, values);
    return Right(new TrackedSettings(changed));
  }

  /** One Query that gives a connection these settings; `undefined` for none. */
  replay(): Buffer | undefined {
    if (this.values.size === 0) return undefined;
    const commands = [...this.values].map(
      ([name, values]) => `SET ${name} TO ${values.map(quoted).join(', ')}`,
    );
    return queryMessage(commands.join('; '));
  }
}

function quoted(value: string): string {
  return `'${value.replaceAll("'", "''")}'`;
}
