import {SqlState} from '@apricotlock/wire';
import {TableDefinition} from './change.js';
import {SqlError} from './sql_error.js';
import {RowValues, valueToText} from './value.js';

/** A row: its committed values, and those of the transaction that locks it. */
export interface Row {
  readonly id: number;
  /** `undefined` until the row is first committed. */
  committed: RowValues | undefined;
  /** The transaction that holds the lock of the row. */
  holder: object | undefined;
  /** The values set by the lock holder; `undefined` if it deleted the row. */
  pending: RowValues | undefined;
}

/** One table, with an index for each unique key. */
export class Table {
  private readonly rowsById = new Map<number, Row>();
  private readonly indexes: ReadonlyArray<Map<string, Set<Row>>>;
  private nextRowId = 1;

  private constructor(readonly definition: TableDefinition) {
    this.indexes = definition.uniqueKeys.map(() => new Map());
  }

  /** Creates an empty table. */
  static create(definition: TableDefinition): Table {
    return new Table(definition);
  }

  /** All rows, including those visible to their lock holder only. */
  get rows(): Iterable<Row> {
    return this.rowsById.values();
  }

  /** Returns the row with this id. */
  row(id: number): Row | undefined {
    return this.rowsById.get(id);
  }

  /** Adds a row that is visible to its lock holder only. */
  insert(values: RowValues, holder: object): Row {
    const row: Row = {
      id: this.nextRowId++,
      committed: undefined,
      holder,
      pending: values,
    };
    this.rowsById.set(row.id, row);
    this.index(row, values);
    return row;
  }

  /** Sets the lock holder's values of a row; `undefined` deletes the row. */
  setPending(row: Row, values: RowValues | undefined): void {
    row.pending = values;
    if (values !== undefined) this.index(row, values);
  }

  /** Commits the lock holder's values and releases the lock. */
  commit(row: Row): void {
    const old = row.committed;
    row.committed = row.pending;
    this.releaseRow(row, old);
  }

  /** Discards the lock holder's values and releases the lock. */
  rollBack(row: Row): void {
    const discarded = row.pending;
    row.pending = undefined;
    this.releaseRow(row, discarded);
  }

  /** Stores a committed row from the log. */
  put(id: number, values: RowValues): void {
    const row = this.rowsById.get(id) ?? {
      id,
      committed: undefined,
      holder: undefined,
      pending: undefined,
    };
    this.rowsById.set(id, row);
    this.nextRowId = Math.max(this.nextRowId, id + 1);
    const old = row.committed;
    row.committed = values;
    this.index(row, values);
    if (old !== undefined) this.unindex(row, old);
  }

  /** Removes a committed row that the log records as deleted. */
  remove(id: number): void {
    const row = this.rowsById.get(id);
    if (row?.committed === undefined) return;
    const old = row.committed;
    row.committed = undefined;
    this.unindex(row, old);
    this.rowsById.delete(id);
  }

  /**
   * Returns the rows that may have `equalValues`, looked up by the first unique
   * key whose columns it contains; `undefined` if it contains none.
   */
  findCandidates(equalValues: RowValues): readonly Row[] | undefined {
    const {uniqueKeys} = this.definition;
    const keyIndex = uniqueKeys.findIndex(key =>
      key.every(column => column in equalValues),
    );
    if (keyIndex < 0) return undefined;
    const key = keyOf(uniqueKeys[keyIndex] as readonly string[], equalValues);
    if (key === undefined) return [];
    return [...(this.indexes[keyIndex]?.get(key) ?? [])];
  }

  /** Returns the rows other than `except` that share a key with `values`. */
  findConflicts(values: RowValues, except: Row | undefined): readonly Row[] {
    const conflicts: Row[] = [];
    this.definition.uniqueKeys.forEach((columns, index) => {
      const key = keyOf(columns, values);
      if (key === undefined) return;
      for (const row of this.indexes[index]?.get(key) ?? []) {
        if (row !== except && hasKey(row, columns, key)) conflicts.push(row);
      }
    });
    return conflicts;
  }

  /** Throws SqlError if the table has no such column. */
  requireColumn(name: string): void {
    if (this.definition.columns.some(column => column.name === name)) return;
    throw SqlError.of(
      SqlState.UNDEFINED_COLUMN,
      `column "${name}" does not exist`,
    );
  }

  private releaseRow(row: Row, stale: RowValues | undefined): void {
    row.holder = undefined;
    row.pending = undefined;
    if (stale !== undefined) this.unindex(row, stale);
    if (row.committed === undefined) this.rowsById.delete(row.id);
  }

  private index(row: Row, values: RowValues): void {
    this.definition.uniqueKeys.forEach((columns, index) => {
      const key = keyOf(columns, values);
      if (key === undefined) return;
      const rows = this.indexes[index]?.get(key);
      if (rows === undefined) this.indexes[index]?.set(key, new Set([row]));
      else rows.add(row);
    });
  }

  /** Removes index entries, except under keys that the row still has. */
  private unindex(row: Row, values: RowValues): void {
    this.definition.uniqueKeys.forEach((columns, index) => {
      const key = keyOf(columns, values);
      if (key === undefined || hasKey(row, columns, key)) return;
      const rows = this.indexes[index]?.get(key);
      rows?.delete(row);
      if (rows?.size === 0) this.indexes[index]?.delete(key);
    });
  }
}

function hasKey(row: Row, columns: readonly string[], key: string): boolean {
  const versions = [row.committed, row.pending];
  return versions.some(
    values => values !== undefined && keyOf(columns, values) === key,
  );
}

/** Returns `undefined` for a key with a NULL, as SQL lets NULLs repeat. */
function keyOf(
  columns: readonly string[],
  values: RowValues,
): string | undefined {
  const parts = columns.map(column => valueToText(values[column] ?? null));
  return parts.includes(null) ? undefined : JSON.stringify(parts);
}
