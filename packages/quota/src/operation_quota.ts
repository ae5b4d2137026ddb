import {Organisation} from '@apricotlock/topology';

/** Whether an operation may run within the quota of its organisation. */
export type QuotaDecision =
  | {readonly kind: 'granted'}
  /** The operation must not run; room is expected after the given time. */
  | {readonly kind: 'refused'; readonly retryAfterMilliseconds: number};

/**
 * Limits the operations of organisations. An operation is a single statement or
 * a transaction; each attempt of a caller counts as one.
 */
export abstract class OperationQuota {
  /** Counts an operation that is about to run, if the quota has room for it. */
  abstract acquire(organisation: Organisation): Promise<QuotaDecision>;

  /**
   * Takes back the count of an operation that has not reached any member, with
   * the time at which it was granted.
   */
  abstract giveBack(organisation: Organisation, grantedAt: number): void;
}
