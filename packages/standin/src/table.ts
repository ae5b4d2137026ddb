import {SqlState} from '@apricotlock/wire';
import {TableDefinition} from './change.js';
import {SqlError} from './sql_error.js';
import {RowValues, valueToText} from './value.js';

/** A row: what is committed, and what a transaction that holds it wants. */
export interface Row {
  readonly id: number;
  /** `undefined` while the row has never been committed. */
  committed: RowValues | undefined;
  /** The transaction that holds the row. */
  holder: object | undefined;
  /** What the holder has made of it; `undefined` if it deleted the row. */
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

  /** An empty table. */
  static create(definition: TableDefinition): Table {
    return new Table(definition);
  }

  /** Every row, also those that only their holder sees. */
  get rows(): Iterable<Row> {
    return this.rowsById.values();
  }

  /** The row with this id. */
  row(id: number): Row | undefined {
    return this.rowsById.get(id);
  }

  /** Makes a row that only its holder sees. */
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

  /** The holder's new values for a row that it holds. */
  change(row: Row, values: RowValues | undefined): void {
    row.pending = values;
    if (values !== undefined) this.index(row, values);
  }

  /** Makes the holder's values the committed ones. */
  commit(row: Row): void {
    const old = row.committed;
    row.committed = row.pending;
    this.settle(row, old);
  }

  /** Forgets what the holder wanted. */
  rollBack(row: Row): void {
    const wanted = row.pending;
    row.pending = undefined;
    this.settle(row, wanted);
  }

  /** Takes over a committed row from the log. */
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

  /** Drops a committed row as the log says. */
  remove(id: number): void {
    const row = this.rowsById.get(id);
    if (row?.committed === undefined) return;
    const old = row.committed;
    row.committed = undefined;
    this.unindex(row, old);
    this.rowsById.delete(id);
  }

  /** Rows that may have the values of one unique key; `undefined`: no index. */
  candidates(wanted: RowValues): readonly Row[] | undefined {
    const {uniqueKeys} = this.definition;
    const found = uniqueKeys.findIndex(key =>
      key.every(column => column in wanted),
    );
    if (found < 0) return undefined;
    const key = keyOf(uniqueKeys[found] as readonly string[], wanted);
    if (key === undefined) return [];
    return [...(this.indexes[found]?.get(key) ?? [])];
  }

  /** Rows other than `except` that share a unique key with `values`. */
  conflicts(values: RowValues, except: Row | undefined): readonly Row[] {
    const found: Row[] = [];
    this.definition.uniqueKeys.forEach((columns, index) => {
      const key = keyOf(columns, values);
      if (key === undefined) return;
      for (const row of this.indexes[index]?.get(key) ?? []) {
        if (row !== except && hasKey(row, columns, key)) found.push(row);
      }
    });
    return found;
  }

  /** The named column's definition, or an error. */
  requireColumn(name: string): void {
    if (this.definition.columns.some(column => column.name === name)) return;
    throw SqlError.of(
      SqlState.UNDEFINED_COLUMN,
      `column "${name}" does not exist`,
    );
  }

  private settle(row: Row, stale: RowValues | undefined): void {
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

  /** A row stays under a key that its remaining values still have. */
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
  const states = [row.committed, row.pending];
  return states.some(
    values => values !== undefined && keyOf(columns, values) === key,
  );
}

/** SQL holds NULLs apart: a key with one is not unique. */
function keyOf(
  columns: readonly string[],
  values: RowValues,
): string | undefined {
  const parts = columns.map(column => valueToText(values[column] ?? null));
  return parts.includes(null) ? undefined : JSON.stringify(parts);
}
