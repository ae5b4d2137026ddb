/** A transaction that was idle for less than this is not ended. */
const MINIMUM_IDLE_MILLISECONDS = 500;

/**
 * The transaction to end, or when to choose again if nothing changes before.
 */
export type EndingChoice<Transaction> =
  | {readonly kind: 'end'; readonly transaction: Transaction}
  | {readonly kind: 'wait'; readonly until: number | undefined};

/**
 * The open transactions of one member without a running statement. Each holds a
 * connection; if many callers keep transactions open, new work finds none.
 */
export class IdleTransactions<Transaction> {
  /** When each became idle; in this order. */
  private readonly idleSince = new Map<Transaction, number>();

  private constructor() {}

  /** Creates an instance without transactions. */
  static create<Transaction>(): IdleTransactions<Transaction> {
    return new IdleTransactions<Transaction>();
  }

  /** Adds a transaction whose statement has been answered. */
  add(transaction: Transaction, now: number): void {
    this.idleSince.set(transaction, now);
  }

  /**
   * Removes a transaction, which continues or ends. Returns `false` if it was
   * removed before.
   */
  remove(transaction: Transaction): boolean {
    return this.idleSince.delete(transaction);
  }

  /**
   * Chooses the transaction to end when new work waits for a connection: the
   * one that has been idle longest, if more than half of the connections are
   * held by idle transactions.
   */
  chooseEnding(
    connectionCount: number,
    now: number,
  ): EndingChoice<Transaction> {
    const [longest] = this.idleSince;
    const holdsMost = this.idleSince.size * 2 > connectionCount;
    if (longest === undefined || !holdsMost) {
      return {kind: 'wait', until: undefined};
    }
    const [transaction, since] = longest;
    const endsAt = since + MINIMUM_IDLE_MILLISECONDS;
    return endsAt <= now
      ? {kind: 'end', transaction}
      : {kind: 'wait', until: endsAt};
  }
}
