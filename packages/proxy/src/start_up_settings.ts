import {Either, Left, Right} from 'purify-ts';
import {AcceptError, StartUpParameters} from '@apricotlock/wire';
import {
  DEFAULT_SETTINGS,
  SessionSettings,
  withSetting,
} from './session_settings.js';

const PROXY_SETTING_PREFIX = 'apricotlock.';
const PROTOCOL_OPTION_PREFIX = '_pq_.';
const HANDLED_ELSEWHERE: ReadonlySet<string> = new Set([
  'user',
  'database',
  'options',
]);
/** `-c name=value` and `--name=value`; a backslash keeps a space in a value. */
const OPTION_PATTERN =
  /\s*(?:-c\s*|--)([A-Za-z_][A-Za-z0-9_.]*)=((?:\\.|[^\s\\])*)\s*/y;

/** The settings that a caller asks for when it connects. */
export function startUpSettings(
  parameters: StartUpParameters,
  database: string,
): Either<AcceptError, SessionSettings> {
  return wishesIn(parameters).chain(wishes =>
    wishes.reduce<Either<AcceptError, SessionSettings>>(
      (settings, wish) =>
        settings.chain(known => granted(known, wish, database)),
      Right(DEFAULT_SETTINGS),
    ),
  );
}

interface Wish {
  readonly name: string;
  readonly value: string;
}

function wishesIn(
  parameters: StartUpParameters,
): Either<AcceptError, readonly Wish[]> {
  const named = Object.entries(parameters)
    .filter(([name]) => !HANDLED_ELSEWHERE.has(name))
    .filter(([name]) => !name.startsWith(PROTOCOL_OPTION_PREFIX))
    .map(([name, value]) => ({name, value}));
  return optionWishes(parameters['options'] ?? '').map(wishes => [
    ...wishes,
    ...named,
  ]);
}

function optionWishes(text: string): Either<AcceptError, readonly Wish[]> {
  const wishes: Wish[] = [];
  let offset = 0;
  while (offset < text.trimEnd().length) {
    OPTION_PATTERN.lastIndex = offset;
    const match = OPTION_PATTERN.exec(text);
    if (match === null) {
      return Left({kind: 'unsupportedSetting', name: 'options'});
    }
    const [whole, name, value] = match as unknown as [string, string, string];
    wishes.push({name, value: value.replace(/\\(.)/g, '$1')});
    offset += whole.length;
  }
  return Right(wishes);
}

function granted(
  settings: SessionSettings,
  {name, value}: Wish,
  database: string,
): Either<AcceptError, SessionSettings> {
  const refusal: AcceptError = {kind: 'unsupportedSetting', name};
  if (name.startsWith(PROXY_SETTING_PREFIX)) {
    return withSetting(settings, database, name, value).mapLeft(() => refusal);
  }
  return settings.tracked
    .with(name, [value])
    .map(tracked => ({...settings, tracked}))
    .mapLeft(() => refusal);
}
