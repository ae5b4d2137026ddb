import {Either, Left, Right} from 'purify-ts';
import {queryMessage} from '@apricotlock/wire';

/** Values that every connection already has or that do not affect results. */
const BUILT_IN_VALUES: Readonly<Record<string, RegExp>> = {
  application_name: /^[^\0]{0,200}$/,
  bytea_output: /^hex$/i,
  client_encoding: /^'?(utf-?8|unicode)'?$/i,
  client_min_messages: /^notice$/i,
  datestyle: /^iso(, *mdy)?$/i,
  extra_float_digits: /^[123]$/,
  intervalstyle: /^postgres$/i,
  standard_conforming_strings: /^(on|true|yes|1)$/i,
};

/** Settings that are replayed on each connection that a session uses. */
const REPLAYED_SETTINGS: ReadonlySet<string> = new Set([
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

/** Error for a setting that cannot be tracked over connections. */
export interface TrackedSettingError {
  readonly kind: 'notTracked';
  readonly name: string;
}

/**
 * The database settings of one session that differ from those of a new
 * connection. They are set on each connection before the session uses it, and
 * the connection is reset before another session uses it.
 */
export class TrackedSettings {
  /** No settings differ from those of a new connection. */
  static readonly NONE = new TrackedSettings(new Map());

  private constructor(
    private readonly values: ReadonlyMap<string, readonly string[]>,
  ) {}

  /** Returns whether a value need not be replayed on connections. */
  isBuiltIn(name: string, values: readonly string[]): boolean {
    const pattern = BUILT_IN_VALUES[name.toLowerCase()];
    return pattern !== undefined && pattern.test(values.join(', '));
  }

  /** Returns the settings after SET, or after RESET if there are no values. */
  withValues(
    name: string,
    values: readonly string[],
  ): Either<TrackedSettingError, TrackedSettings> {
    const key = name.toLowerCase();
    const changed = new Map(this.values);
    if (values.length === 0 || this.isBuiltIn(key, values)) {
      changed.delete(key);
      return Right(new TrackedSettings(changed));
    }
    if (!REPLAYED_SETTINGS.has(key)) return Left({kind: 'notTracked', name});
    changed.set(key, values);
    return Right(new TrackedSettings(changed));
  }

  /** Returns a Query with all settings, or `undefined` if there are none. */
  replayQuery(): Buffer | undefined {
    if (this.values.size === 0) return undefined;
    const commands = [...this.values].map(
      ([name, values]) =>
        `SET ${name} TO ${values.map(quoteLiteral).join(', ')}`,
    );
    return queryMessage(commands.join('; '));
  }
}

function quoteLiteral(value: string): string {
  return `'${value.replaceAll("'", "''")}'`;
}
