import {ColumnDescription} from '@apricotlock/wire';
import {Value} from './value.js';

/** What a statement gives: rows, if it has columns, and a command tag. */
export interface Answer {
  readonly columns: readonly ColumnDescription[];
  readonly rows: ReadonlyArray<readonly Value[]>;
  readonly tag: string;
}

/** The answer of a statement that gives no rows. */
export function tagOnly(tag: string): Answer {
  return {columns: [], rows: [], tag};
}
