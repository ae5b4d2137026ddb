import {Position, POSITION_ZERO} from '@apricotlock/session';
import {Change, LogRecord} from './change.js';

const RECORD_HEADER_BYTES = 24;

/** The member's log of committed transactions. */
export class ChangeLog {
  private records: LogRecord[] = [];

  private constructor() {}

  /** An empty log. */
  static create(): ChangeLog {
    return new ChangeLog();
  }

  /** The position after the last record. */
  get end(): Position {
    return this.last?.position ?? POSITION_ZERO;
  }

  /** The last record. */
  get last(): LogRecord | undefined {
    return this.records[this.records.length - 1];
  }

  /** Every record, in order. */
  get all(): readonly LogRecord[] {
    return this.records;
  }

  /** Adds what a transaction changed; gives the new record. */
  append(term: number, changes: readonly Change[]): LogRecord {
    const bytes = RECORD_HEADER_BYTES + JSON.stringify(changes).length;
    const position = this.end + BigInt(bytes);
    const record: LogRecord = {term, position, changes};
    this.records.push(record);
    return record;
  }

  /** Adds a record that another member made. */
  receive(record: LogRecord): void {
    this.records.push(record);
  }

  /** At most `count` records that come after `position`. */
  after(position: Position, count: number): readonly LogRecord[] {
    const start = this.indexAfter(position);
    return this.records.slice(start, start + count);
  }

  /** Whether a record of this term ends at this position. */
  holds(term: number, position: Position): boolean {
    if (position === POSITION_ZERO) return true;
    const record = this.records[this.indexAfter(position) - 1];
    return record?.position === position && record.term === term;
  }

  /** Drops the records after `position`. */
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
