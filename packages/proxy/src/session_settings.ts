import {Either, Left, Right} from 'purify-ts';
import {SessionToken} from '@apricotlock/session';
import {TrackedSettings} from './tracked_settings.js';

const MAXIMUM_KEY_CHARACTERS = 200;
const DURATION_PATTERN = /^([0-9]{1,9})(ms|s|min)?$/;
const MILLISECONDS_A_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  min: 60_000,
};

/** Names of the settings by which a caller speaks to the proxy. */
export const SettingName = {
  SESSION: 'apricotlock.session',
  IDEMPOTENCY_KEY: 'apricotlock.idempotency_key',
  MAX_STALENESS: 'apricotlock.max_staleness',
} as const;

/** Why a setting was not taken. */
export interface SettingError {
  readonly kind: 'unknownSetting' | 'badValue';
  readonly name: string;
}

/** The settings of one caller's session. */
export interface SessionSettings {
  /** What the session has seen; `undefined` until it has seen something. */
  readonly token: SessionToken | undefined;
  /** Names the request that must not run twice. */
  readonly idempotencyKey: string | undefined;
  /** How old what a read shows may be, in milliseconds. */
  readonly maximumStalenessMilliseconds: number | undefined;
  /** Settings of the database that are set again on each connection. */
  readonly tracked: TrackedSettings;
}

/** The settings of a session that has set nothing. */
export const DEFAULT_SETTINGS: SessionSettings = {
  token: undefined,
  idempotencyKey: undefined,
  maximumStalenessMilliseconds: undefined,
  tracked: TrackedSettings.NONE,
};

/** The settings after `SET name = value`, or RESET without a value. */
export function withSetting(
  settings: SessionSettings,
  database: string,
  name: string,
  value: string | undefined,
): Either<SettingError, SessionSettings> {
  const bad: SettingError = {kind: 'badValue', name};
  switch (name) {
    case SettingName.SESSION:
      if (!value) return Right({...settings, token: undefined});
      return SessionToken.parse(value)
        .mapLeft(() => bad)
        .chain(token =>
          token.database === database ? Right({...settings, token}) : Left(bad),
        );
    case SettingName.IDEMPOTENCY_KEY:
      if ((value?.length ?? 0) > MAXIMUM_KEY_CHARACTERS) return Left(bad);
      return Right({...settings, idempotencyKey: value || undefined});
    case SettingName.MAX_STALENESS:
      return readDuration(value)
        .map(milliseconds => ({
          ...settings,
          maximumStalenessMilliseconds: milliseconds,
        }))
        .mapLeft(() => bad);
    default:
      return Left({kind: 'unknownSetting', name});
  }
}

/** The text that `SHOW name` gives. */
export function shownSetting(
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

function readDuration(
  text: string | undefined,
): Either<'badValue', number | undefined> {
  if (!text) return Right(undefined);
  const match = DURATION_PATTERN.exec(text.trim());
  if (match === null) return Left('badValue');
  const unit = MILLISECONDS_A_UNIT[match[2] ?? 'ms'] ?? 1;
  return Right(Number(match[1]) * unit);
}
