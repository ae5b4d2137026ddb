import {Position} from '@apricotlock/session';
import {RowValues} from './value.js';

/** A column as defined by CREATE TABLE. */
export interface ColumnDefinition {
  readonly name: string;
  readonly integer: boolean;
  readonly defaultText?: string;
}

/** A table's columns and the column groups that must be unique. */
export interface TableDefinition {
  readonly name: string;
  readonly columns: readonly ColumnDefinition[];
  readonly uniqueKeys: ReadonlyArray<readonly string[]>;
}

/** One change of a committed transaction. */
export type Change =
  | {readonly kind: 'createTable'; readonly definition: TableDefinition}
  | {readonly kind: 'dropTable'; readonly table: string}
  | {
      readonly kind: 'putRow';
      readonly table: string;
      readonly rowId: number;
      readonly values: RowValues;
    }
  | {
      readonly kind: 'deleteRow';
      readonly table: string;
      readonly rowId: number;
    };

/** One committed transaction in the log. */
export interface LogRecord {
  readonly term: number;
  /** Length of the log in bytes, including this record. */
  readonly position: Position;
  readonly changes: readonly Change[];
}
