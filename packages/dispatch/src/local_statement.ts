import {Either, Left, Right} from 'purify-ts';
import {CallerFailure, Statement} from '@apricotlock/statement';
import {SessionContext} from './session_context.js';
import {NO_TRANSACTION, SessionTransaction} from './session_transaction.js';

/** What the statements of a session change without a member. */
export interface LocalState {
  readonly context: SessionContext;
  readonly transaction: SessionTransaction;
}

/**
 * Returns the state of a session after a statement that needs no member, or why
 * the statement is refused; `undefined` if a member has to run it. The caller
 * ends the transaction on its member if none is left.
 */
export function runLocally(
  statement: Statement,
  state: LocalState,
): Either<CallerFailure, LocalState> | undefined {
  const {context, transaction} = state;
  const ends = statement.kind === 'commit' || statement.kind === 'rollback';
  if (transaction.kind === 'failed' && !ends) {
    return malformed(
      'the transaction has failed; only COMMIT or ROLLBACK is accepted',
    );
  }
  const withContext = (changed: Either<CallerFailure, SessionContext>) =>
    changed.map(newContext => ({...state, context: newContext}));
  switch (statement.kind) {
    case 'setValue':
      return withContext(context.withValue(statement.name, statement.value));
    case 'prepare':
      return withContext(
        context.withPrepared(statement.name, statement.prepared),
      );
    case 'deallocate':
      return withContext(context.withoutPrepared(statement.name));
    case 'begin':
      return transaction.kind === 'none'
        ? Right({
            ...state,
            transaction: {kind: 'begun', readOnly: statement.readOnly},
          })
        : malformed('a transaction is already open');
    case 'rollback':
      return Right({...state, transaction: NO_TRANSACTION});
    case 'commit':
      return transaction.kind === 'none'
        ? malformed('no transaction is open')
        : undefined;
    default:
      return undefined;
  }
}

function malformed(reason: string): Either<CallerFailure, never> {
  return Left({kind: 'malformed', reason});
}
