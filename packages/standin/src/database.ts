import {Position, POSITION_ZERO} from '@apricotlock/session';
import {SqlState} from '@apricotlock/wire';
import {Change, LogRecord} from './change.js';
import {ChangeLog} from './change_log.js';
import {SqlError} from './sql_error.js';
import {Table} from './table.js';

/** The tables of a member, and the log from which they follow. */
export class Database {
  readonly log = ChangeLog.create();
  private tables = new Map<string, Table>();
  private appliedPosition: Position = POSITION_ZERO;

  private constructor() {}

  /** An empty database. */
  static create(): Database {
    return new Database();
  }

  /** How much of the log the tables show. */
  get applied(): Position {
    return this.appliedPosition;
  }

  /** The table, or SQL's error. */
  table(name: string): Table {
    const table = this.tables.get(name);
    if (table !== undefined) return table;
    throw SqlError.of(
      SqlState.UNDEFINED_TABLE,
      `relation "${name}" does not exist`,
    );
  }

  /** Whether there is such a table. */
  hasTable(name: string): boolean {
    return this.tables.has(name);
  }

  /** Makes a table at once: the stand-in's DDL is not transactional. */
  createTable(table: Table): void {
    this.tables.set(table.definition.name, table);
  }

  /** Drops a table at once. */
  dropTable(name: string): void {
    this.tables.delete(name);
  }

  /** Adds a transaction whose changes the tables already show. */
  commit(term: number, changes: readonly Change[]): LogRecord {
    const record = this.log.append(term, changes);
    this.appliedPosition = record.position;
    return record;
  }

  /** Shows the next record of the log. */
  apply(record: LogRecord): void {
    for (const change of record.changes) this.applyChange(change);
    this.appliedPosition = record.position;
  }

  /** Shows all that the log holds. */
  applyAll(): void {
    const rest = this.log.after(this.applied, Number.MAX_SAFE_INTEGER);
    for (const record of rest) this.apply(record);
  }

  /** Cuts the log and builds the tables again if they showed too much. */
  truncate(position: Position): void {
    this.log.truncate(position);
    if (this.appliedPosition <= position) return;
    this.tables = new Map();
    this.appliedPosition = POSITION_ZERO;
    this.applyAll();
  }

  private applyChange(change: Change): void {
    switch (change.kind) {
      case 'createTable':
        this.createTable(Table.create(change.definition));
        return;
      case 'dropTable':
        this.dropTable(change.table);
        return;
      case 'putRow':
        this.tables.get(change.table)?.put(change.rowId, change.values);
        return;
      case 'deleteRow':
        this.tables.get(change.table)?.remove(change.rowId);
        return;
    }
  }
}
