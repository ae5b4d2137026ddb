import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {SqlState} from '@apricotlock/wire';
import {Change} from './change.js';
import {SqlError} from './sql_error.js';
import {Row, Table} from './table.js';
import {RowValues} from './value.js';

const LOCK_TIMEOUT_MILLISECONDS = 2_000;

interface HeldRow {
  readonly table: Table;
  readonly row: Row;
}

/** One transaction: the rows that it holds until it ends. */
export class Transaction {
  private readonly held = new Map<Row, HeldRow>();
  private readonly ended = Deferred.create<void>();
  private definitions: readonly Change[] = [];

  private constructor(
    readonly readOnly: boolean,
    private readonly timer: TimerService,
  ) {}

  /** Begins a transaction. */
  static begin(readOnly: boolean, timer: TimerService): Transaction {
    return new Transaction(readOnly, timer);
  }

  /** A row's values as this transaction sees them. */
  see(row: Row): RowValues | undefined {
    return row.holder === this ? row.pending : row.committed;
  }

  /** Waits until this transaction holds the row; gives what it then sees. */
  async hold(table: Table, row: Row): Promise<RowValues | undefined> {
    while (row.holder !== undefined && row.holder !== this) {
      await this.waitFor(row.holder as Transaction);
    }
    if (row.holder === undefined) {
      row.holder = this;
      row.pending = row.committed;
      this.held.set(row, {table, row});
    }
    return row.pending;
  }

  /** Inserts a row once no other may share its unique keys. */
  async insert(table: Table, values: RowValues): Promise<Row | undefined> {
    const conflict = await this.conflict(table, values, undefined);
    if (conflict !== undefined) return undefined;
    const row = table.insert(values, this);
    this.held.set(row, {table, row});
    return row;
  }

  /** Changes or deletes a row that this transaction holds. */
  async change(
    table: Table,
    row: Row,
    values: RowValues | undefined,
  ): Promise<void> {
    const conflict =
      values === undefined
        ? undefined
        : await this.conflict(table, values, row);
    if (conflict !== undefined) throw uniqueViolation(table);
    table.change(row, values);
  }

  /** The row that keeps `values` from being stored, if there is one. */
  async conflict(
    table: Table,
    values: RowValues,
    except: Row | undefined,
  ): Promise<Row | undefined> {
    for (;;) {
      const rows = table.conflicts(values, except);
      const other = rows.find(
        row => row.holder !== undefined && row.holder !== this,
      );
      if (other === undefined) {
        return rows.find(row => this.see(row) !== undefined);
      }
      await this.waitFor(other.holder as Transaction);
    }
  }

  /** Notes a change that took effect at once and goes into the log. */
  noteDefinition(change: Change): void {
    this.definitions = [...this.definitions, change];
  }

  /** Makes all changes visible; gives them for the log. */
  commit(): readonly Change[] {
    const changes = [...this.definitions];
    for (const {table, row} of this.held.values()) {
      const change = changeOf(table, row);
      if (change !== undefined) changes.push(change);
      table.commit(row);
    }
    this.ended.resolve();
    return changes;
  }

  /** Forgets all changes. */
  rollBack(): void {
    for (const {table, row} of this.held.values()) table.rollBack(row);
    this.held.clear();
    this.ended.resolve();
  }

  private async waitFor(holder: Transaction): Promise<void> {
    const outcome = await withTimeout(
      this.timer,
      LOCK_TIMEOUT_MILLISECONDS,
      holder.ended.promise,
    );
    if (outcome !== TIMED_OUT) return;
    throw SqlError.of(
      SqlState.LOCK_NOT_AVAILABLE,
      'canceling statement due to lock timeout',
    );
  }
}

/** The error for a value that stands already. */
export function uniqueViolation(table: Table): SqlError {
  return SqlError.of(
    SqlState.UNIQUE_VIOLATION,
    'duplicate key value violates unique constraint of ' +
      `"${table.definition.name}"`,
  );
}

function changeOf(table: Table, row: Row): Change | undefined {
  const name = table.definition.name;
  if (row.pending === row.committed) return undefined;
  if (row.pending !== undefined) {
    return {kind: 'putRow', table: name, rowId: row.id, values: row.pending};
  }
  return {kind: 'deleteRow', table: name, rowId: row.id};
}
