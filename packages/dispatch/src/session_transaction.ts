import {ServiceTerms} from '@apricotlock/topology';
import {Opens} from '@apricotlock/work';
import {WorkHolder} from './work_holder.js';

/** Where the session's transaction stands. */
export type SessionTransaction =
  | {readonly kind: 'none'}
  /** Begun for the caller, and not yet on any member. */
  | {readonly kind: 'begun'; readonly readOnly: boolean}
  /** On a member, until it ends. */
  | {
      readonly kind: 'open';
      readonly holder: WorkHolder;
      readonly terms: ServiceTerms;
      readonly wrote: boolean;
    }
  /** Failed on a member, which still has it; only its end is accepted. */
  | {
      readonly kind: 'failed';
      readonly holder: WorkHolder;
      readonly terms: ServiceTerms;
    };

/** No transaction is open. */
export const NO_TRANSACTION: SessionTransaction = {kind: 'none'};

/** What the first statement that goes to a member has to open there. */
export function opensFor(
  transaction: Extract<SessionTransaction, {kind: 'none' | 'begun'}>,
): Opens {
  if (transaction.kind === 'none') return 'none';
  return transaction.readOnly ? 'readOnlyTransaction' : 'transaction';
}
