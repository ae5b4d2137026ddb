import {ColumnDescription} from '@apricotlock/wire';
import {Value} from './value.js';

/** The result of a statement: rows, if it has columns, and a command tag. */
export interface QueryResult {
  readonly columns: readonly ColumnDescription[];
  readonly rows: ReadonlyArray<readonly Value[]>;
  readonly tag: string;
}

/** Returns the result of a statement that returns no rows. */
export function tagOnlyResult(tag: string): QueryResult {
  return {columns: [], rows: [], tag};
}
