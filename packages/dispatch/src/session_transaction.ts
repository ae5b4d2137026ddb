import {ServiceTerms} from '@apricotlock/topology';
import {TransactionStart} from '@apricotlock/work';
import {WorkHandle} from './work_handle.js';

/** The state of the transaction of a session. */
export type SessionTransaction =
  | {readonly kind: 'none'}
  /** Begun by the caller, but not opened on a member yet. */
  | {readonly kind: 'begun'; readonly readOnly: boolean}
  /** Open on a member. */
  | {
      readonly kind: 'open';
      readonly handle: WorkHandle;
      readonly terms: ServiceTerms;
      readonly wrote: boolean;
    }
  /** Failed but not ended on a member; only COMMIT or ROLLBACK is accepted. */
  | {
      readonly kind: 'failed';
      readonly handle: WorkHandle;
      readonly terms: ServiceTerms;
    };

/** A transaction that no member knows yet, or none. */
export type UnstartedTransaction = Extract<
  SessionTransaction,
  {readonly kind: 'none' | 'begun'}
>;

/** A transaction that has not ended on its member. */
export type StartedTransaction = Extract<
  SessionTransaction,
  {readonly kind: 'open' | 'failed'}
>;

/** No transaction is open. */
export const NO_TRANSACTION: SessionTransaction = {kind: 'none'};

/** Returns whether a transaction has been opened on a member. */
export function isStarted(
  transaction: SessionTransaction,
): transaction is StartedTransaction {
  return transaction.kind === 'open' || transaction.kind === 'failed';
}

/** Returns which transaction the first statement on a member opens there. */
export function opensFor(transaction: UnstartedTransaction): TransactionStart {
  if (transaction.kind === 'none') return 'none';
  return transaction.readOnly ? 'readOnlyTransaction' : 'transaction';
}
