import {Position, POSITION_ZERO} from '@apricotlock/session';
import {Change, LogRecord} from './change.js';

const RECORD_HEADER_BYTES = 24;

/** A member's log of committed transactions. */
export class ChangeLog {
  private records: LogRecord[] = [];

  private constructor() {}

  /** Creates an empty log. */
  static create(): ChangeLog {
    return new ChangeLog();
  }

  /** The position after the last record. */
  get end(): Position {
    return this.last?.position ?? POSITION_ZERO;
  }

  /** The last record; `undefined` if the log is empty. */
  get last(): LogRecord | undefined {
    return this.records[this.records.length - 1];
  }

  /** All records, in order. */
  get all(): readonly LogRecord[] {
    return this.records;
  }

  /** Appends the changes of a transaction and returns the new record. */
  append(term: number, changes: readonly Change[]): LogRecord {
    const bytes = RECORD_HEADER_BYTES + JSON.stringify(changes).length;
    const position = this.end + BigInt(bytes);
    const record: LogRecord = {term, position, changes};
    this.records.push(record);
    return record;
  }

  /** Appends a record that another member created. */
  receive(record: LogRecord): void {
    this.records.push(record);
  }

  /** Returns at most `count` records that follow `position`. */
  recordsAfter(position: Position, count: number): readonly LogRecord[] {
    const start = this.indexAfter(position);
    return this.records.slice(start, start + count);
  }

  /**
   * Returns whether a record of `term` ends at `position`; always true for the
   * start of the log.
   */
  hasBoundary(term: number, position: Position): boolean {
    if (position === POSITION_ZERO) return true;
    const record = this.records[this.indexAfter(position) - 1];
    return record?.position === position && record.term === term;
  }

  /** Removes the records after `position`. */
  truncate(position: Position): void {
    this.records = this.records.slice(0, this.indexAfter(position));
  }

  private indexAfter(position: Position): number {
    let low = 0;
    let high = this.records.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const record = this.records[middle] as LogRecord;
      if (record.position <= position) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
