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

/** A member's disk. */
export abstract class MemberStore {
  /** Whether there was something on the disk at the start. */
  abstract readonly hasHistory: boolean;
  abstract loadTerms(): StoredTerms | undefined;
  abstract loadRecords(): readonly LogRecord[];
  abstract saveTerms(terms: StoredTerms): void;
  abstract append(record: LogRecord): void;
  abstract rewrite(records: readonly LogRecord[]): void;
}

/** A member without a disk: nothing survives it. */
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

/** A member's disk: terms in one file, the log as lines of JSON in another. */
export class FileMemberStore extends MemberStore {
  override readonly hasHistory: boolean;

  private constructor(
    private readonly termsPath: string,
    private readonly logPath: string,
  ) {
    super();
    this.hasHistory = existsSync(termsPath);
  }

  /** Opens the files under `folder`, which is made if need be. */
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
    // The last line is cut short if the process died while writing it.
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

/** A record as JSON, which has no large integers. */
export function recordToJson(record: LogRecord): RecordJson {
  return {...record, position: formatPosition(record.position)};
}

/** Reads what {@link recordToJson} gives. */
export function recordFromJson(json: RecordJson): LogRecord {
  return {...json, position: parsePosition(json.position).unsafeCoerce()};
}

function recordToLine(record: LogRecord): string {
  return `${JSON.stringify(recordToJson(record))}\n`;
}

function lineToRecord(line: string): LogRecord {
  return recordFromJson(JSON.parse(line) as RecordJson);
}
