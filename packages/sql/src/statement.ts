/** Transaction options in a BEGIN or START TRANSACTION statement. */
export interface TransactionOptions {
  readonly readOnly: boolean;
}

/** An SQL statement as the proxy classifies it. */
export type Statement =
  /** Changes nothing, so any sufficiently fresh member may run it. */
  | {readonly kind: 'read'}
  /** Changes data, or is not known to be read-only. */
  | {readonly kind: 'write'}
  | {readonly kind: 'begin'; readonly options: TransactionOptions}
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'}
  /** A savepoint command, SET LOCAL or SET TRANSACTION. */
  | {readonly kind: 'insideTransaction'}
  /** SET or RESET of a setting of the proxy itself. */
  | {
      readonly kind: 'setProxySetting';
      readonly name: string;
      /** The new value; `undefined` for RESET and SET ... TO DEFAULT. */
      readonly value: string | undefined;
    }
  /** SHOW of a setting of the proxy itself. */
  | {readonly kind: 'showProxySetting'; readonly name: string}
  /** SET or RESET of a database setting. */
  | {
      readonly kind: 'setSession';
      readonly name: string;
      /** The new values; empty for RESET and SET ... TO DEFAULT. */
      readonly values: readonly string[];
    }
  /** RESET ALL. */
  | {readonly kind: 'resetSession'}
  | {readonly kind: 'discardAll'}
  /** Needs a dedicated database session, which callers do not have. */
  | {readonly kind: 'unsupported'; readonly feature: string};
