import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {SqlState} from '@apricotlock/wire';
import {Change} from './change.js';
import {SqlError} from './sql_error.js';
import {Row, Table} from './table.js';
import {RowValues} from './value.js';

const LOCK_TIMEOUT_MILLISECONDS = 2_000;

interface LockedRow {
  readonly table: Table;
  readonly row: Row;
}

/** A transaction, which holds row locks until it ends. */
export class Transaction {
  private readonly lockedRows = new Map<Row, LockedRow>();
  private readonly ended = Deferred.create<void>();
  private definitionChanges: readonly Change[] = [];

  private constructor(
    readonly readOnly: boolean,
    private readonly timer: TimerService,
  ) {}

  /** Begins a transaction. */
  static begin(readOnly: boolean, timer: TimerService): Transaction {
    return new Transaction(readOnly, timer);
  }

  /** Returns a row's values that this transaction sees. */
  visibleValues(row: Row): RowValues | undefined {
    return row.holder === this ? row.pending : row.committed;
  }

  /**
   * Waits for the lock of a row and returns the values that are then visible;
   * `undefined` if the row was deleted. Throws SqlError on a lock time-out.
   */
  async lockRow(table: Table, row: Row): Promise<RowValues | undefined> {
    while (row.holder !== undefined && row.holder !== this) {
      await this.waitForEnd(row.holder as Transaction);
    }
    if (row.holder === undefined) {
      row.holder = this;
      row.pending = row.committed;
      this.lockedRows.set(row, {table, row});
    }
    return row.pending;
  }

  /**
   * Inserts a row, once no other transaction can still add or remove a row with
   * the same unique keys. Returns `undefined` if there is such a row.
   */
  async insert(table: Table, values: RowValues): Promise<Row | undefined> {
    const conflict = await this.findConflict(table, values, undefined);
    if (conflict !== undefined) return undefined;
    const row = table.insert(values, this);
    this.lockedRows.set(row, {table, row});
    return row;
  }

  /**
   * Updates a row that this transaction has locked; deletes it if `values` is
   * `undefined`. Throws SqlError if another row has the same unique keys.
   */
  async changeRow(
    table: Table,
    row: Row,
    values: RowValues | undefined,
  ): Promise<void> {
    const conflict =
      values === undefined
        ? undefined
        : await this.findConflict(table, values, row);
    if (conflict !== undefined) throw uniqueViolationError(table);
    table.setPending(row, values);
  }

  /**
   * Returns the visible row other than `except` that shares a unique key with
   * `values`. Waits for other transactions that have locked such rows.
   */
  async findConflict(
    table: Table,
    values: RowValues,
    except: Row | undefined,
  ): Promise<Row | undefined> {
    for (;;) {
      const rows = table.findConflicts(values, except);
      const lockedRow = rows.find(
        row => row.holder !== undefined && row.holder !== this,
      );
      if (lockedRow === undefined) {
        return rows.find(row => this.visibleValues(row) !== undefined);
      }
      await this.waitForEnd(lockedRow.holder as Transaction);
    }
  }

  /** Records a change of a definition, already in effect, for the log. */
  recordDefinition(change: Change): void {
    this.definitionChanges = [...this.definitionChanges, change];
  }

  /** Makes all changes visible and returns them for the log. */
  commit(): readonly Change[] {
    const changes = [...this.definitionChanges];
    for (const {table, row} of this.lockedRows.values()) {
      const change = changeOf(table, row);
      if (change !== undefined) changes.push(change);
      table.commit(row);
    }
    this.ended.resolve();
    return changes;
  }

  /** Discards the changes of rows. Changes of definitions stay in effect. */
  rollBack(): void {
    for (const {table, row} of this.lockedRows.values()) table.rollBack(row);
    this.lockedRows.clear();
    this.ended.resolve();
  }

  private async waitForEnd(holder: Transaction): Promise<void> {
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

/** Returns the error for a duplicate value of a unique key. */
export function uniqueViolationError(table: Table): SqlError {
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
