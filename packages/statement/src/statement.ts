/** Whether a statement changes data. */
export type Access = 'read' | 'write';

/** What a caller can ask of its session. */
export type Statement =
  | {readonly kind: 'begin'; readonly readOnly: boolean}
  | {readonly kind: 'commit'; readonly text: string}
  | {readonly kind: 'rollback'}
  /** A read or write whose text goes to the member unchanged. */
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
      /** What follows the name, unchanged. */
      readonly parameters: string;
    }
  | {readonly kind: 'deallocate'; readonly name: string};

/** What a prepared name stands for. */
export interface PreparedStatement {
  readonly access: Access;
  readonly shape: string;
}

/** Values that a session has set, by name. */
export type SessionValues = ReadonlyMap<string, string>;

/** Where a session stands between two statements. */
export type SessionState =
  | 'idle'
  | 'transaction'
  /** The transaction failed; only its end is accepted. */
  | 'failed';
