import {
  appendFileSync,
  existsSync,
  mkdirSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import {formatPosition, parsePosition} from '@apricotlock/session';
import {Change, LogRecord} from './change.js';

/** The terms that must survive a restart. */
export interface StoredTerms {
  readonly term: number;
  readonly fencedTerm: number;
}

/** Persistent storage of a member. */
export abstract class MemberStore {
  /** Whether terms were already stored when the store was opened. */
  abstract readonly hasHistory: boolean;
  abstract loadTerms(): StoredTerms | undefined;
  abstract loadRecords(): readonly LogRecord[];
  abstract saveTerms(terms: StoredTerms): void;
  abstract append(record: LogRecord): void;
  abstract rewrite(records: readonly LogRecord[]): void;
}

/** A store that persists nothing, for a member without a disk. */
export class MemoryMemberStore extends MemberStore {
  override readonly hasHistory = false;

  override loadTerms(): StoredTerms | undefined {
    return undefined;
  }

  override loadRecords(): readonly LogRecord[] {
    return [];
  }

  override saveTerms(): void {
    return;
  }

  override append(): void {
    return;
  }

  override rewrite(): void {
    return;
  }
}

/** Stores the terms in one file and the log, as lines of JSON, in another. */
export class FileMemberStore extends MemberStore {
  override readonly hasHistory: boolean;

  private constructor(
    private readonly termsPath: string,
    private readonly logPath: string,
  ) {
    super();
    this.hasHistory = existsSync(termsPath);
  }

  /** Opens the files in `folder`, which is created if it does not exist. */
  static open(folder: string): FileMemberStore {
    mkdirSync(folder, {recursive: true});
    return new FileMemberStore(
      join(folder, 'terms.json'),
      join(folder, 'log.jsonl'),
    );
  }

  override loadTerms(): StoredTerms | undefined {
    if (!this.hasHistory) return undefined;
    return JSON.parse(readFileSync(this.termsPath, 'utf8')) as StoredTerms;
  }

  override loadRecords(): readonly LogRecord[] {
    if (!existsSync(this.logPath)) return [];
    // The last line is truncated if the process died while writing it.
    const lines = readFileSync(this.logPath, 'utf8').split('\n').slice(0, -1);
    return lines.map(lineToRecord);
  }

  override saveTerms(terms: StoredTerms): void {
    writeFileSync(`${this.termsPath}.new`, JSON.stringify(terms));
    renameSync(`${this.termsPath}.new`, this.termsPath);
  }

  override append(record: LogRecord): void {
    appendFileSync(this.logPath, recordToLine(record));
  }

  override rewrite(records: readonly LogRecord[]): void {
    writeFileSync(`${this.logPath}.new`, records.map(recordToLine).join(''));
    renameSync(`${this.logPath}.new`, this.logPath);
  }
}

interface RecordJson {
  readonly term: number;
  readonly position: string;
  readonly changes: readonly Change[];
}

/** Returns a record as JSON, with a text position: JSON has no big integers. */
export function recordToJson(record: LogRecord): RecordJson {
  return {...record, position: formatPosition(record.position)};
}

/** Parses the result of {@link recordToJson}. */
export function recordFromJson(json: RecordJson): LogRecord {
  return {...json, position: parsePosition(json.position).unsafeCoerce()};
}

function recordToLine(record: LogRecord): string {
  return `${JSON.stringify(recordToJson(record))}\n`;
}

function lineToRecord(line: string): LogRecord {
  return recordFromJson(JSON.parse(line) as RecordJson);
}
