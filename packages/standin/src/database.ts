import {Position, POSITION_ZERO} from '@apricotlock/session';
import {SqlState} from '@apricotlock/wire';
import {Change, LogRecord} from './change.js';
import {ChangeLog} from './change_log.js';
import {SqlError} from './sql_error.js';
import {Table} from './table.js';

/** The tables of a member and the log from which they are built. */
export class Database {
  readonly log = ChangeLog.create();
  private tables = new Map<string, Table>();
  private appliedPosition: Position = POSITION_ZERO;

  private constructor() {}

  /** Creates an empty database. */
  static create(): Database {
    return new Database();
  }

  /** The log position up to which the tables are current. */
  get applied(): Position {
    return this.appliedPosition;
  }

  /** Returns a table. Throws SqlError if it does not exist. */
  table(name: string): Table {
    const table = this.tables.get(name);
    if (table !== undefined) return table;
    throw SqlError.of(
      SqlState.UNDEFINED_TABLE,
      `relation "${name}" does not exist`,
    );
  }

  /** Returns whether a table exists. */
  hasTable(name: string): boolean {
    return this.tables.has(name);
  }

  /** Adds a table immediately: the stand-in's DDL is not transactional. */
  createTable(table: Table): void {
    this.tables.set(table.definition.name, table);
  }

  /** Drops a table immediately. */
  dropTable(name: string): void {
    this.tables.delete(name);
  }

  /** Logs a transaction whose changes the tables already contain. */
  commit(term: number, changes: readonly Change[]): LogRecord {
    const record = this.log.append(term, changes);
    this.appliedPosition = record.position;
    return record;
  }

  /** Applies the next record of the log to the tables. */
  apply(record: LogRecord): void {
    for (const change of record.changes) this.applyChange(change);
    this.appliedPosition = record.position;
  }

  /** Applies all remaining records of the log to the tables. */
  applyAll(): void {
    const unapplied = this.log.recordsAfter(
      this.applied,
      Number.MAX_SAFE_INTEGER,
    );
    for (const record of unapplied) this.apply(record);
  }

  /**
   * Truncates the log to `position`, and rebuilds the tables if they contain
   * changes of removed records.
   */
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
