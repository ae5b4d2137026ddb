import {Either, Left, Right} from 'purify-ts';
import {AcceptError, StartUpParameters} from '@apricotlock/wire';
import {
  DEFAULT_SETTINGS,
  SessionSettings,
  withSetting,
} from './session_settings.js';

/** Prefix of the settings that the proxy itself handles. */
const PROXY_SETTING_PREFIX = 'apricotlock.';
/** Prefix of protocol options, which are not settings and are ignored. */
const PROTOCOL_OPTION_PREFIX = '_pq_.';
/** Start-up parameters that are not settings. */
const CONNECTION_PARAMETERS: ReadonlySet<string> = new Set([
  'user',
  'database',
  'options',
]);
/**
 * Matches `-c name=value` and `--name=value`; a backslash escapes a space in a
 * value.
 */
const OPTION_PATTERN =
  /\s*(?:-c\s*|--)([A-Za-z_][A-Za-z0-9_.]*)=((?:\\.|[^\s\\])*)\s*/y;

/**
 * Returns the session settings that the start-up message requests, or
 * `unsupportedSetting` for the first one that the proxy cannot provide.
 */
export function readStartUpSettings(
  parameters: StartUpParameters,
  database: string,
): Either<AcceptError, SessionSettings> {
  return readSettingRequests(parameters).chain(requests =>
    requests.reduce<Either<AcceptError, SessionSettings>>(
      (settings, request) =>
        settings.chain(accumulated =>
          applySettingRequest(accumulated, request, database),
        ),
      Right(DEFAULT_SETTINGS),
    ),
  );
}

interface SettingRequest {
  readonly name: string;
  readonly value: string;
}

function readSettingRequests(
  parameters: StartUpParameters,
): Either<AcceptError, readonly SettingRequest[]> {
  const fromParameters = Object.entries(parameters)
    .filter(([name]) => !CONNECTION_PARAMETERS.has(name))
    .filter(([name]) => !name.startsWith(PROTOCOL_OPTION_PREFIX))
    .map(([name, value]) => ({name, value}));
  return parseOptions(parameters['options'] ?? '').map(fromOptions => [
    ...fromOptions,
    ...fromParameters,
  ]);
}

function parseOptions(
  text: string,
): Either<AcceptError, readonly SettingRequest[]> {
  const requests: SettingRequest[] = [];
  let offset = 0;
  while (offset < text.trimEnd().length) {
    OPTION_PATTERN.lastIndex = offset;
    const match = OPTION_PATTERN.exec(text);
    if (match === null) {
      return Left({kind: 'unsupportedSetting', name: 'options'});
    }
    const [matched, name, value] = match as unknown as [string, string, string];
    requests.push({name, value: value.replace(/\\(.)/g, '$1')});
    offset += matched.length;
  }
  return Right(requests);
}

function applySettingRequest(
  settings: SessionSettings,
  {name, value}: SettingRequest,
  database: string,
): Either<AcceptError, SessionSettings> {
  const error: AcceptError = {kind: 'unsupportedSetting', name};
  if (name.startsWith(PROXY_SETTING_PREFIX)) {
    return withSetting(settings, database, name, value).mapLeft(() => error);
  }
  return settings.tracked
    .withValues(name, [value])
    .map(tracked => ({...settings, tracked}))
    .mapLeft(() => error);
}
