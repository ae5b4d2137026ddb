/** Whether a statement changes data. */
export type Access = 'read' | 'write';

/** A statement that a caller sends to its session. */
export type Statement =
  | {readonly kind: 'begin'; readonly readOnly: boolean}
  | {readonly kind: 'commit'; readonly text: string}
  | {readonly kind: 'rollback'}
  /** A read or write whose text is sent to the member unchanged. */
  | {readonly kind: 'plain'; readonly access: Access; readonly text: string}
  | {readonly kind: 'setValue'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly prepared: PreparedStatement;
    }
  | {
      readonly kind: 'execute';
      readonly name: string;
      /** The unchanged text that follows the name. */
      readonly parameters: string;
    }
  | {readonly kind: 'deallocate'; readonly name: string};

/** The definition of a prepared statement. */
export interface PreparedStatement {
  readonly access: Access;
  readonly shape: string;
}

/** The values that a session has set, by name. */
export type SessionValues = ReadonlyMap<string, string>;

/** The state of a session between two statements. */
export type SessionState =
  | 'idle'
  | 'transaction'
  /** The transaction failed; only a statement that ends it is accepted. */
  | 'failed';
