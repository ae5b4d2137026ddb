/** What a BEGIN asks of its transaction. */
export interface TransactionOptions {
  readonly readOnly: boolean;
}

/** What one SQL statement means to the proxy. */
export type Statement =
  /** Cannot change anything: any member that is fresh enough may run it. */
  | {readonly kind: 'read'}
  /** May change something, or is not known not to. */
  | {readonly kind: 'write'}
  | {readonly kind: 'begin'; readonly options: TransactionOptions}
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'}
  /** A savepoint command, or SET that lasts for one transaction. */
  | {readonly kind: 'insideTransaction'}
  /** SET or RESET of one of the proxy's own settings. */
  | {
      readonly kind: 'setProxySetting';
      readonly name: string;
      /** `undefined` for RESET and for SET ... TO DEFAULT. */
      readonly value: string | undefined;
    }
  /** SHOW of one of the proxy's own settings. */
  | {readonly kind: 'showProxySetting'; readonly name: string}
  /** SET of a setting of the database; RESET of it has no values. */
  | {
      readonly kind: 'setSession';
      readonly name: string;
      readonly values: readonly string[];
    }
  /** RESET ALL. */
  | {readonly kind: 'resetSession'}
  | {readonly kind: 'discardAll'}
  /** Needs a database session of the caller's own, which it does not have. */
  | {readonly kind: 'unsupported'; readonly what: string};
