import {Either, Left, Right} from 'purify-ts';
import {LogEntry, LogPosition, Snapshot, VoteState} from './log_entry.js';
import {decodeRecords, encodeRecord} from './record_file.js';
import {StorageError} from './storage_error.js';
import {StorageFile, StorageFolder} from './storage_folder.js';

const FILE_PATTERN = /^log-([0-9]{8})$/;
const GENERATION_DIGITS = 8;

/** A change to the log, as it is stored. */
export type LogItem =
  | {readonly kind: 'vote'; readonly vote: VoteState}
  /** Replaces the entries at the same and at later indexes. */
  | {readonly kind: 'entry'; readonly entry: LogEntry}
  | {
      readonly kind: 'snapshot';
      readonly snapshot: Snapshot;
      readonly base: LogPosition;
    };

/** A file of the log, and the items that were read from it. */
export interface OpenedLogFile {
  readonly file: LogFile;
  readonly items: readonly LogItem[];
}

/**
 * The file with the items of the log. A new generation of the file atomically
 * replaces the old one. All methods throw the errors of the file system.
 */
export class LogFile {
  /** Size of the first record. */
  firstRecordBytes = 0;
  /** Bytes added since the first record. */
  addedBytes = 0;

  private constructor(
    private readonly folder: StorageFolder,
    private generation: number,
    private file: StorageFile,
  ) {}

  /** Creates the first generation with the given items. */
  static async create(
    folder: StorageFolder,
    items: readonly LogItem[],
  ): Promise<LogFile> {
    const bytes = encodeRecord(items);
    const name = fileName(1);
    await folder.replace(name, bytes);
    const file = await folder.openForAppend(name, bytes.length);
    const created = new LogFile(folder, 1, file);
    created.firstRecordBytes = bytes.length;
    return created;
  }

  /**
   * Opens the newest generation and removes the others; `undefined` in a folder
   * without any. `Left` if the file is damaged.
   */
  static async open(
    folder: StorageFolder,
  ): Promise<Either<StorageError, OpenedLogFile | undefined>> {
    const generations = await listGenerations(folder);
    const newest = generations.at(-1);
    if (newest === undefined) return Right(undefined);
    const opened = await LogFile.read(folder, newest);
    for (const old of opened.isRight() ? generations.slice(0, -1) : []) {
      await folder.remove(fileName(old));
    }
    return opened;
  }

  private static async read(
    folder: StorageFolder,
    generation: number,
  ): Promise<Either<StorageError, OpenedLogFile>> {
    const name = fileName(generation);
    const decoded = decodeRecords(await folder.read(name));
    if (decoded.isLeft()) {
      const offsetBytes = decoded.extract() as number;
      const file = folder.pathOf(name);
      return Left({kind: 'corrupt', file, offsetBytes});
    }
    const {records, validBytes, firstRecordBytes} = decoded.unsafeCoerce();
    const items = (records as ReadonlyArray<readonly LogItem[]>).flat();
    const storage = await folder.openForAppend(name, validBytes);
    const file = new LogFile(folder, generation, storage);
    file.firstRecordBytes = firstRecordBytes;
    file.addedBytes = validBytes - firstRecordBytes;
    return Right({file, items});
  }

  /** The path of the file, for messages. */
  get path(): string {
    return this.folder.pathOf(fileName(this.generation));
  }

  /** Appends items as one record and syncs it. */
  async append(items: readonly LogItem[]): Promise<void> {
    const bytes = encodeRecord(items);
    this.addedBytes += bytes.length;
    await this.file.append(bytes);
    await this.file.sync();
  }

  /**
   * Starts a new generation that contains only the given items. If it throws,
   * it can be called again; the old generation is intact until it succeeds.
   */
  async replace(items: readonly LogItem[]): Promise<void> {
    const old = fileName(this.generation);
    const name = fileName(this.generation + 1);
    const bytes = encodeRecord(items);
    await this.folder.replace(name, bytes);
    await this.file.close();
    this.file = await this.folder.openForAppend(name, bytes.length);
    this.firstRecordBytes = bytes.length;
    this.addedBytes = 0;
    this.generation += 1;
    await this.folder.remove(old);
  }

  /** Counts the added bytes anew, because a replacement is about to be written. */
  resetAddedBytes(): void {
    this.addedBytes = 0;
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.file.close();
  }
}

async function listGenerations(
  folder: StorageFolder,
): Promise<readonly number[]> {
  const names = await folder.list();
  return names
    .flatMap(name => FILE_PATTERN.exec(name)?.[1] ?? [])
    .map(Number)
    .sort((left, right) => left - right);
}

function fileName(generation: number): string {
  return `log-${String(generation).padStart(GENERATION_DIGITS, '0')}`;
}
