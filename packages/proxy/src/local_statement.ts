import {Either, Right} from 'purify-ts';
import {Statement} from '@apricotlock/sql';
import {SqlState} from '@apricotlock/wire';
import {LocalResult} from './local_answer.js';
import {Failure} from './failure.js';
import {
  DEFAULT_SETTINGS,
  SessionSettings,
  showSetting,
  withSetting,
} from './session_settings.js';

/** Result of a statement carried out by the proxy, with the new settings. */
export interface LocalOutcome {
  readonly result: LocalResult;
  readonly settings: SessionSettings;
}

/** A statement that the proxy may carry out without a member. */
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

/** Returns whether the proxy can carry out the statement without a member. */
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

/** Carries out a statement; `database` is that of the caller's entry. */
export function runLocally(
  statement: LocalStatement,
  settings: SessionSettings,
  database: string,
): Either<Failure, LocalOutcome> {
  switch (statement.kind) {
    case 'setProxySetting':
      return withSetting(settings, database, statement.name, statement.value)
        .map(changed => ({result: {tag: 'SET'}, settings: changed}))
        .mapLeft(() => invalidSetting(statement.name));
    case 'showProxySetting': {
      const {name} = statement;
      return showSetting(settings, name)
        .map(value => ({result: {tag: 'SHOW', row: {name, value}}, settings}))
        .mapLeft(() => invalidSetting(name));
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
      // The token is kept, so that later reads show no older data than before.
      const {token} = settings;
      return Right({
        result: {tag: 'DISCARD ALL'},
        settings: {...DEFAULT_SETTINGS, token},
      });
    }
  }
}

/** Returns the settings after a SET or RESET of a database setting. */
export function applySet(
  statement: Extract<Statement, {kind: 'setSession'}>,
  settings: SessionSettings,
): Either<Failure, SessionSettings> {
  return settings.tracked
    .withValues(statement.name, statement.values)
    .map(tracked => ({...settings, tracked}))
    .mapLeft(({name}) => ({
      kind: 'notPossible',
      code: SqlState.FEATURE_NOT_SUPPORTED,
      reason:
        `the proxy does not support session-level SET ${name}; ` +
        'use SET LOCAL in a transaction',
    }));
}

function invalidSetting(name: string): Failure {
  return {
    kind: 'notPossible',
    code: SqlState.INVALID_PARAMETER,
    reason: `unknown setting or invalid value: ${name}`,
  };
}
