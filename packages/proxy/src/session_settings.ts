import {Either, Left, Right} from 'purify-ts';
import {SessionToken} from '@apricotlock/session';
import {TrackedSettings} from './tracked_settings.js';

const MAXIMUM_KEY_CHARACTERS = 200;
const DURATION_PATTERN = /^([0-9]{1,9})(ms|s|min)?$/;
const MILLISECONDS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  min: 60_000,
};

/** Names of the settings that the proxy itself handles. */
export const SettingName = {
  SESSION: 'apricotlock.session',
  IDEMPOTENCY_KEY: 'apricotlock.idempotency_key',
  MAX_STALENESS: 'apricotlock.max_staleness',
} as const;

/** Reason why a setting was refused. */
export interface SettingError {
  readonly kind: 'unknownSetting' | 'badValue';
  readonly name: string;
}

/** Settings of one caller's session. */
export interface SessionSettings {
  /** Position that reads must cover; `undefined` if nothing has been seen. */
  readonly token: SessionToken | undefined;
  /** Key of the next write request, which must not run twice. */
  readonly idempotencyKey: string | undefined;
  /** Maximum age of the data that a read returns, in milliseconds. */
  readonly maximumStalenessMilliseconds: number | undefined;
  /** Database settings that are replayed on each connection. */
  readonly tracked: TrackedSettings;
}

/** Settings of a new session. */
export const DEFAULT_SETTINGS: SessionSettings = {
  token: undefined,
  idempotencyKey: undefined,
  maximumStalenessMilliseconds: undefined,
  tracked: TrackedSettings.NONE,
};

/** Returns the settings after `SET name = value`, or RESET without a value. */
export function withSetting(
  settings: SessionSettings,
  database: string,
  name: string,
  value: string | undefined,
): Either<SettingError, SessionSettings> {
  const invalid: SettingError = {kind: 'badValue', name};
  switch (name) {
    case SettingName.SESSION:
      if (!value) return Right({...settings, token: undefined});
      return SessionToken.parse(value)
        .mapLeft(() => invalid)
        .chain(token =>
          token.database === database
            ? Right({...settings, token})
            : Left(invalid),
        );
    case SettingName.IDEMPOTENCY_KEY:
      if ((value?.length ?? 0) > MAXIMUM_KEY_CHARACTERS) return Left(invalid);
      return Right({...settings, idempotencyKey: value || undefined});
    case SettingName.MAX_STALENESS:
      return parseDuration(value)
        .map(milliseconds => ({
          ...settings,
          maximumStalenessMilliseconds: milliseconds,
        }))
        .mapLeft(() => invalid);
    default:
      return Left({kind: 'unknownSetting', name});
  }
}

/** Returns the text for `SHOW name`. */
export function showSetting(
  settings: SessionSettings,
  name: string,
): Either<SettingError, string> {
  switch (name) {
    case SettingName.SESSION:
      return Right(settings.token?.toString() ?? '');
    case SettingName.IDEMPOTENCY_KEY:
      return Right(settings.idempotencyKey ?? '');
    case SettingName.MAX_STALENESS: {
      const milliseconds = settings.maximumStalenessMilliseconds;
      return Right(milliseconds === undefined ? '' : `${milliseconds}ms`);
    }
    default:
      return Left({kind: 'unknownSetting', name});
  }
}

function parseDuration(
  text: string | undefined,
): Either<'badValue', number | undefined> {
  if (!text) return Right(undefined);
  const match = DURATION_PATTERN.exec(text.trim());
  if (match === null) return Left('badValue');
  const unit = MILLISECONDS_PER_UNIT[match[2] ?? 'ms'] ?? 1;
  return Right(Number(match[1]) * unit);
}
