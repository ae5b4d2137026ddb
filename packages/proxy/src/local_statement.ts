import {Either, Right} from 'purify-ts';
import {Statement} from '@apricotlock/sql';
import {SqlState} from '@apricotlock/wire';
import {LocalResult} from './local_answer.js';
import {Failure} from './outcome.js';
import {
  DEFAULT_SETTINGS,
  SessionSettings,
  shownSetting,
  withSetting,
} from './session_settings.js';

/** A statement that no member needs to see, carried out. */
export interface LocalOutcome {
  readonly result: LocalResult;
  readonly settings: SessionSettings;
}

/** A statement that the proxy may carry out by itself. */
export type LocalStatement = Extract<
  Statement,
  {
    kind:
      | 'setProxySetting'
      | 'showProxySetting'
      | 'setSession'
      | 'resetSession'
      | 'discardAll';
  }
>;

/** Whether no member needs to see the statement. */
export function isLocal(
  statement: Statement,
  settings: SessionSettings,
): statement is LocalStatement {
  switch (statement.kind) {
    case 'setProxySetting':
    case 'showProxySetting':
    case 'resetSession':
    case 'discardAll':
      return true;
    case 'setSession': {
      const {name, values} = statement;
      return values.length === 0 || settings.tracked.isBuiltIn(name, values);
    }
    default:
      return false;
  }
}

/** Carries a statement out; `database` is the one of the caller's entry. */
export function runLocally(
  statement: LocalStatement,
  settings: SessionSettings,
  database: string,
): Either<Failure, LocalOutcome> {
  switch (statement.kind) {
    case 'setProxySetting':
      return withSetting(settings, database, statement.name, statement.value)
        .map(changed => ({result: {tag: 'SET'}, settings: changed}))
        .mapLeft(() => badSetting(statement.name));
    case 'showProxySetting': {
      const {name} = statement;
      return shownSetting(settings, name)
        .map(value => ({result: {tag: 'SHOW', row: {name, value}}, settings}))
        .mapLeft(() => badSetting(name));
    }
    case 'setSession':
      return applySet(statement, settings).map(changed => ({
        result: {tag: statement.values.length === 0 ? 'RESET' : 'SET'},
        settings: changed,
      }));
    case 'resetSession': {
      const {tracked} = DEFAULT_SETTINGS;
      return Right({
        result: {tag: 'RESET'},
        settings: {...settings, tracked},
      });
    }
    case 'discardAll': {
      // What the session has seen stays seen.
      const {token} = settings;
      return Right({
        result: {tag: 'DISCARD ALL'},
        settings: {...DEFAULT_SETTINGS, token},
      });
    }
  }
}

/** The settings once a SET of the database has been carried out. */
export function applySet(
  statement: Extract<Statement, {kind: 'setSession'}>,
  settings: SessionSettings,
): Either<Failure, SessionSettings> {
  return settings.tracked
    .with(statement.name, statement.values)
    .map(tracked => ({...settings, tracked}))
    .mapLeft(({name}) => ({
      kind: 'notPossible',
      code: SqlState.FEATURE_NOT_SUPPORTED,
      reason:
        `the proxy cannot keep SET ${name} for a whole session; ` +
        'use SET LOCAL in a transaction',
    }));
}

function badSetting(name: string): Failure {
  return {
    kind: 'notPossible',
    code: SqlState.INVALID_PARAMETER,
    reason: `no such setting, or a bad value, for ${name}`,
  };
}
