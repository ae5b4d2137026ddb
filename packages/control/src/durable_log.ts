import {Either, Left, Right} from 'purify-ts';
import {Deferred, Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {
  ControlConfiguration,
  EMPTY_CONFIGURATION,
} from './control_configuration.js';
import {EMPTY_CONTROL_STATE} from './control_state.js';
import {LogEntry, LogPosition, Snapshot, VoteState} from './log_entry.js';
import {LogFile, LogItem, OpenedLogFile} from './log_file.js';
import {encodeRecord} from './record_file.js';
import {StorageError} from './storage_error.js';
import {StorageFolder} from './storage_folder.js';

/**
 * Log entries kept from before a snapshot, so that voters that are slightly
 * behind need no snapshot.
 */
const RETAINED_ENTRIES_BEFORE_SNAPSHOT = 200;
const RETAINED_BYTES_BEFORE_SNAPSHOT = 256 << 10;
/**
 * Bounds the entries since the last snapshot, which a restart reads and which
 * are held in memory.
 */
const SNAPSHOT_INTERVAL_ENTRIES = 500;
const SNAPSHOT_INTERVAL_MINIMUM_BYTES = 1 << 20;
/**
 * By size, the next snapshot is due only after this multiple of the last one's
 * size was written, so that a large snapshot is not rewritten too often.
 */
const SNAPSHOT_INTERVAL_SIZE_FACTOR = 2;
const SLOW_WRITE_MILLISECONDS = 300;
/** A write that takes longer counts as refused until it ends. */
const STALLED_WRITE_MILLISECONDS = 1_000;
const WRITE_RETRY_INTERVAL_MILLISECONDS = 200;
const BEFORE_FIRST_ENTRY: LogPosition = {index: 0, term: 0};
const EMPTY_SNAPSHOT: Snapshot = {
  ...BEFORE_FIRST_ENTRY,
  configuration: EMPTY_CONFIGURATION,
  state: EMPTY_CONTROL_STATE,
};

/** Dependencies of {@link DurableLog}, and its notifications about the disk. */
export interface DurableLogContext {
  readonly timer: TimerService;
  /**
   * Called when the disk refused a write. Nothing is reported as synced until
   * the disk accepts writes again.
   */
  readonly onWriteFailed: (error: StorageError) => void;
  /** Called when a write and its sync took long. */
  readonly slow: (milliseconds: number) => void;
}

type WriteTask =
  | {readonly kind: 'append'; readonly item: LogItem}
  /** A new file with everything that is in memory at the time of the write. */
  | {readonly kind: 'rewrite'};

/**
 * A control VM's log, vote and snapshot. Changes apply in memory at once and
 * are written to one file in the data folder, in the same order. Messages to
 * other VMs that depend on a change must wait for {@link flushed}. A snapshot
 * starts a new file, which atomically replaces the old one. So does the first
 * write after a refused one, because it is not known how much of the refused
 * write the old file contains.
 */
export class DurableLog {
  /** Whether the disk accepts writes. */
  readonly writable = Observable.of(true);
  private closed = false;
  private latestSnapshot = EMPTY_SNAPSHOT;
  private base: LogPosition = BEFORE_FIRST_ENTRY;
  private entries: LogEntry[] = [];
  private pendingTasks: readonly WriteTask[] = [];
  private flushWaiters: ReadonlyArray<Deferred<void>> = [];
  private writing = false;
  private syncedIndex = 0;
  private latestConfiguration: ControlConfiguration | undefined;

  private constructor(
    private readonly folder: StorageFolder,
    private currentVote: VoteState,
    private readonly file: LogFile,
    private readonly context: DurableLogContext,
  ) {}

  /**
   * Reads the log from a folder. In an empty folder, creates a log with a new
   * disk id.
   */
  static async open(
    folder: StorageFolder,
    newDiskId: () => string,
    context: DurableLogContext,
  ): Promise<Either<StorageError, DurableLog>> {
    try {
      const opened = await LogFile.open(folder);
      const existing = opened.orDefault(undefined);
      if (opened.isLeft()) return opened as Either<StorageError, never>;
      if (existing !== undefined) {
        return DurableLog.restore(folder, existing, context);
      }
      const diskId = newDiskId();
      const vote = {diskId, cluster: undefined, term: 0, vote: undefined};
      const file = await LogFile.create(folder, [{kind: 'vote', vote}]);
      return Right(new DurableLog(folder, vote, file, context));
    } catch (failure) {
      return Left(toDiskError(folder, failure));
    }
  }

  private static restore(
    folder: StorageFolder,
    {file, items}: OpenedLogFile,
    context: DurableLogContext,
  ): Either<StorageError, DurableLog> {
    const vote = items.find(item => item.kind === 'vote')?.vote;
    // The first record contains the vote and was synced before the file was
    // renamed into place.
    if (vote === undefined) {
      return Left({kind: 'corrupt', file: file.path, offsetBytes: 0});
    }
    const log = new DurableLog(folder, vote, file, context);
    for (const item of items) log.applyItem(item);
    log.syncedIndex = log.last.index;
    return Right(log);
  }

  /** The term, the vote and the identity of the disk. */
  get vote(): VoteState {
    return this.currentVote;
  }

  /** The newest snapshot. */
  get snapshot(): Snapshot {
    return this.latestSnapshot;
  }

  /** The position of the newest entry. */
  get last(): LogPosition {
    return this.entries.at(-1) ?? this.base;
  }

  /** The newest index up to which all current entries are synced. */
  get flushedIndex(): number {
    return Math.min(this.syncedIndex, this.last.index);
  }

  /**
   * Whether the log has grown so much since the last snapshot that a restart
   * would take long.
   */
  get needsCompaction(): boolean {
    const entries = this.last.index - this.latestSnapshot.index;
    const intervalBytes = Math.max(
      SNAPSHOT_INTERVAL_MINIMUM_BYTES,
      this.file.firstRecordBytes * SNAPSHOT_INTERVAL_SIZE_FACTOR,
    );
    return (
      entries >= SNAPSHOT_INTERVAL_ENTRIES ||
      this.file.addedBytes >= intervalBytes
    );
  }

  /**
   * The newest configuration in the log, which applies even before it is
   * committed.
   */
  get configuration(): ControlConfiguration {
    this.latestConfiguration ??= this.configurationAt(this.last.index);
    return this.latestConfiguration;
  }

  /**
   * Returns the term of the entry at an index; `undefined` if it is not known
   * here.
   */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    if (index === this.latestSnapshot.index) return this.latestSnapshot.term;
    return this.entryAt(index)?.term;
  }

  /** Returns the entry at an index, if it is retained. */
  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.base.index - 1];
  }

  /**
   * Returns at most `limit` entries from an index on; `undefined` if some of
   * them are no longer retained.
   */
  entriesFrom(index: number, limit: number): readonly LogEntry[] | undefined {
    if (index <= this.base.index) return undefined;
    const start = index - this.base.index - 1;
    return this.entries.slice(start, start + limit);
  }

  /** Changes the term, the vote or the cluster. */
  saveVote(change: Partial<Omit<VoteState, 'diskId'>>): void {
    this.enqueue({kind: 'vote', vote: {...this.currentVote, ...change}});
  }

  /**
   * Appends entries. Existing entries from the first one's index on are
   * dropped.
   */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) this.enqueue({kind: 'entry', entry});
  }

  /**
   * Replaces the entries up to a position by a snapshot of the state there, and
   * retains only the newest of them for voters that are slightly behind.
   */
  compact(position: LogPosition, state: Snapshot['state']): void {
    const configuration = this.configurationAt(position.index);
    const baseIndex = this.firstRetainedIndex(position.index) - 1;
    const base = {index: baseIndex, term: this.termAt(baseIndex) ?? 0};
    this.rewrite({...position, configuration, state}, base);
  }

  /** Installs another VM's snapshot in place of the log up to its index. */
  install(snapshot: Snapshot): void {
    const matchesSnapshot = this.termAt(snapshot.index) === snapshot.term;
    if (!matchesSnapshot) this.entries = [];
    const {index, term} = snapshot;
    this.rewrite(snapshot, {index, term});
  }

  /** Returns once all changes made so far are synced. */
  flushed(): Promise<void> {
    if (!this.writing) return Promise.resolve();
    const deferred = Deferred.create<void>();
    this.flushWaiters = [...this.flushWaiters, deferred];
    return deferred.promise;
  }

  /**
   * Waits until all changes are synced, unless the disk accepts no writes, and
   * closes the file.
   */
  async close(): Promise<void> {
    const refused = this.writable.waitUntil(writable => !writable);
    await Promise.race([this.flushed(), refused]);
    this.closed = true;
    await this.file.close();
  }

  private configurationAt(index: number): ControlConfiguration {
    for (
      let entryIndex = index;
      entryIndex > this.latestSnapshot.index;
      entryIndex--
    ) {
      const body = this.entryAt(entryIndex)?.body;
      if (body?.kind === 'configuration') return body.configuration;
    }
    return this.latestSnapshot.configuration;
  }

  /**
   * Returns the index of the oldest entry to retain for voters that are
   * slightly behind.
   */
  private firstRetainedIndex(snapshotIndex: number): number {
    let index = snapshotIndex + 1;
    let bytes = 0;
    while (index > this.base.index + 1) {
      if (snapshotIndex + 1 - index >= RETAINED_ENTRIES_BEFORE_SNAPSHOT) break;
      bytes += encodeRecord(this.entryAt(index - 1)).length;
      if (bytes > RETAINED_BYTES_BEFORE_SNAPSHOT) break;
      index -= 1;
    }
    return index;
  }

  private rewrite(snapshot: Snapshot, base: LogPosition): void {
    this.applyItem({kind: 'snapshot', snapshot, base});
    this.file.resetAddedBytes();
    this.addTask({kind: 'rewrite'});
  }

  /** Returns the content of a new file. */
  private get currentItems(): readonly LogItem[] {
    const {currentVote: vote, latestSnapshot: snapshot, base, entries} = this;
    return [
      {kind: 'vote', vote},
      {kind: 'snapshot', snapshot, base},
      ...entries.map((entry): LogItem => ({kind: 'entry', entry})),
    ];
  }

  private enqueue(item: LogItem): void {
    this.applyItem(item);
    this.addTask({kind: 'append', item});
  }

  private applyItem(item: LogItem): void {
    this.latestConfiguration = undefined;
    if (item.kind === 'vote') {
      this.currentVote = item.vote;
    } else if (item.kind === 'entry') {
      const {entry} = item;
      this.entries.length = entry.index - this.base.index - 1;
      this.entries.push(entry);
      this.syncedIndex = Math.min(this.syncedIndex, entry.index - 1);
    } else {
      const {snapshot, base} = item;
      this.entries = this.entries.filter(({index}) => index > base.index);
      this.latestSnapshot = snapshot;
      this.base = base;
    }
  }

  private addTask(task: WriteTask): void {
    this.pendingTasks = [...this.pendingTasks, task];
    if (this.writing) return;
    this.writing = true;
    void this.writeAll();
  }

  /** Writes all pending changes, in order; only one call runs at a time. */
  private async writeAll(): Promise<void> {
    const {timer, slow} = this.context;
    while (this.pendingTasks.length > 0 && !this.closed) {
      // Changes made in the same tick are written as one record.
      await Promise.resolve();
      const startedAt = timer.now();
      if (!(await this.writePending())) {
        await timer.sleep(WRITE_RETRY_INTERVAL_MILLISECONDS);
        continue;
      }
      const elapsed = timer.now() - startedAt;
      if (elapsed > SLOW_WRITE_MILLISECONDS) slow(elapsed);
    }
    this.writing = false;
    if (!this.closed) this.resolveFlushWaiters(this.flushWaiters);
  }

  /** Writes what is pending; returns whether the disk accepted it. */
  private async writePending(): Promise<boolean> {
    const {pendingTasks, flushWaiters} = this;
    const lastIndex = this.last.index;
    this.pendingTasks = [];
    this.flushWaiters = [];
    const stopWatch = this.context.timer.once(STALLED_WRITE_MILLISECONDS, () =>
      this.writeFailed('a write takes too long'),
    );
    try {
      await this.writeTasks(pendingTasks);
    } catch (failure) {
      this.writeFailed(failure);
      this.pendingTasks = [{kind: 'rewrite'}, ...this.pendingTasks];
      this.flushWaiters = [...flushWaiters, ...this.flushWaiters];
      return false;
    } finally {
      stopWatch();
    }
    if (!this.writable.current) this.writable.set(true);
    let syncedUpTo = lastIndex;
    // An entry that was overwritten during the write has not been synced.
    for (const task of this.pendingTasks) {
      if (task.kind !== 'append' || task.item.kind !== 'entry') continue;
      syncedUpTo = Math.min(syncedUpTo, task.item.entry.index - 1);
    }
    this.syncedIndex = syncedUpTo;
    this.resolveFlushWaiters(flushWaiters);
    return true;
  }

  private async writeTasks(tasks: readonly WriteTask[]): Promise<void> {
    // A new file contains the changes of all other tasks.
    if (tasks.some(({kind}) => kind === 'rewrite')) {
      return this.file.replace(this.currentItems);
    }
    const items = tasks.flatMap(task =>
      task.kind === 'append' ? [task.item] : [],
    );
    return this.file.append(items);
  }

  private writeFailed(failure: unknown): void {
    if (!this.writable.current || this.closed) return;
    this.writable.set(false);
    this.context.onWriteFailed(toDiskError(this.folder, failure));
  }

  private resolveFlushWaiters(waiters: ReadonlyArray<Deferred<void>>): void {
    this.flushWaiters = this.flushWaiters.filter(
      other => !waiters.includes(other),
    );
    for (const deferred of waiters) deferred.resolve();
  }
}

function toDiskError(folder: StorageFolder, failure: unknown): StorageError {
  return {kind: 'disk', file: folder.path, reason: String(failure)};
}
