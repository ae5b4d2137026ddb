import {Either, Left, Right} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {
  ControlConfiguration,
  EMPTY_CONFIGURATION,
} from './control_configuration.js';
import {EMPTY_CONTROL_STATE} from './control_state.js';
import {LogEntry, LogPosition, Snapshot, VoteState} from './log_entry.js';
import {decodeRecords, encodeRecord} from './record_file.js';
import {StorageError} from './storage_error.js';
import {StorageFile, StorageFolder} from './storage_folder.js';

const LOG_FILE_PATTERN = /^log-([0-9]{8})$/;
const GENERATION_DIGITS = 8;
/** Entries kept behind a snapshot, for voters that are a little behind. */
const ENTRIES_KEPT_BEHIND = 200;
const BYTES_KEPT_BEHIND = 256 << 10;
/** A restart reads what was added since the snapshot, and it is held in memory. */
const ENTRIES_A_SNAPSHOT = 500;
const BYTES_A_SNAPSHOT = 1 << 20;
/** A snapshot is not written again before so much of its size was added. */
const GROWTH_A_SNAPSHOT = 2;
const SLOW_WRITE_MILLISECONDS = 300;
const BEFORE_ALL: LogPosition = {index: 0, term: 0};
const EMPTY_SNAPSHOT: Snapshot = {
  ...BEFORE_ALL,
  configuration: EMPTY_CONFIGURATION,
  state: EMPTY_CONTROL_STATE,
};

/** What a log needs, and what it tells of its disk. */
export interface DurableLogContext {
  readonly timer: TimerService;
  /** A write failed: nothing can be promised from then on. */
  readonly failed: (error: StorageError) => void;
  /** A write and its sync took long. */
  readonly slow: (milliseconds: number) => void;
}

type LogItem =
  | {readonly kind: 'vote'; readonly vote: VoteState}
  /** An entry replaces those of its index and after. */
  | {readonly kind: 'entry'; readonly entry: LogEntry}
  | {
      readonly kind: 'snapshot';
      readonly snapshot: Snapshot;
      readonly base: LogPosition;
    };

type WriteTask =
  | {readonly kind: 'append'; readonly item: LogItem}
  | {readonly kind: 'rewrite'; readonly items: readonly LogItem[]};

/**
 * A control VM's log, vote and snapshot: in memory at once, and in one file of
 * the data folder in the same order soon after. What is told to others must
 * wait for {@link flushed}. A snapshot begins a new file, which takes the old
 * one's place whole.
 */
export class DurableLog {
  private snapshotHeld = EMPTY_SNAPSHOT;
  private base: LogPosition = BEFORE_ALL;
  private entries: LogEntry[] = [];
  private tasks: readonly WriteTask[] = [];
  private waiting: ReadonlyArray<Deferred<void>> = [];
  private writing = false;
  private flushedTo = 0;
  /** The size of the record with which the file began, in bytes. */
  private firstBytes = 0;
  /** What was added to the file since, in bytes. */
  private addedBytes = 0;
  private latestConfiguration: ControlConfiguration | undefined;

  private constructor(
    private readonly folder: StorageFolder,
    private voteHeld: VoteState,
    private generation: number,
    private file: StorageFile,
    private readonly context: DurableLogContext,
  ) {}

  /**
   * Reads the folder, or begins a log under a new disk identity in an empty
   * one.
   */
  static async open(
    folder: StorageFolder,
    newDiskId: () => string,
    context: DurableLogContext,
  ): Promise<Either<StorageError, DurableLog>> {
    try {
      const generations = await generationsIn(folder);
      const newest = generations.at(-1);
      if (newest === undefined) {
        const begun = await begin(folder, newDiskId(), context);
        return Right(begun);
      }
      const read = await DurableLog.read(folder, newest, context);
      for (const old of read.isRight() ? generations.slice(0, -1) : []) {
        await folder.remove(fileName(old));
      }
      return read;
    } catch (failure) {
      return Left(diskError(folder, failure));
    }
  }

  private static async read(
    folder: StorageFolder,
    generation: number,
    context: DurableLogContext,
  ): Promise<Either<StorageError, DurableLog>> {
    const name = fileName(generation);
    const path = folder.pathOf(name);
    const bytes = await folder.read(name);
    const decoded = decodeRecords(bytes);
    if (decoded.isLeft()) {
      const offsetBytes = decoded.extract() as number;
      return Left({kind: 'corrupt', file: path, offsetBytes});
    }
    const {records, lengthBytes, firstBytes} = decoded.unsafeCoerce();
    const items = (records as ReadonlyArray<readonly LogItem[]>).flat();
    const vote = items.find(item => item.kind === 'vote')?.vote;
    // The first record was synced before the file got its name.
    if (vote === undefined) {
      return Left({kind: 'corrupt', file: path, offsetBytes: 0});
    }
    const file = await folder.openAt(name, lengthBytes);
    const log = new DurableLog(folder, vote, generation, file, context);
    for (const item of items) log.take(item);
    log.flushedTo = log.last.index;
    log.firstBytes = firstBytes;
    log.addedBytes = lengthBytes - firstBytes;
    return Right(log);
  }

  /** @internal */
  static fresh(
    folder: StorageFolder,
    vote: VoteState,
    file: StorageFile,
    context: DurableLogContext,
  ): DurableLog {
    return new DurableLog(folder, vote, 1, file, context);
  }

  /** Term, vote and the identity of the disk. */
  get vote(): VoteState {
    return this.voteHeld;
  }

  /** The newest snapshot. */
  get snapshot(): Snapshot {
    return this.snapshotHeld;
  }

  /** The newest place. */
  get last(): LogPosition {
    return this.entries.at(-1) ?? this.base;
  }

  /** The newest place that is synced, or was overwritten by a synced one. */
  get flushedIndex(): number {
    return Math.min(this.flushedTo, this.last.index);
  }

  /** Whether a restart would have to go through so much that it takes long. */
  get isLong(): boolean {
    const entries = this.last.index - this.snapshotHeld.index;
    const bytes = Math.max(
      BYTES_A_SNAPSHOT,
      this.firstBytes * GROWTH_A_SNAPSHOT,
    );
    return entries >= ENTRIES_A_SNAPSHOT || this.addedBytes >= bytes;
  }

  /** Who takes part now: the newest configuration, decided or not. */
  get configuration(): ControlConfiguration {
    this.latestConfiguration ??= this.configurationAt(this.last.index);
    return this.latestConfiguration;
  }

  /** The term of a place; `undefined` if it is not known here. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    if (index === this.snapshotHeld.index) return this.snapshotHeld.term;
    return this.entryAt(index)?.term;
  }

  /** The entry at a place, if it is kept. */
  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.base.index - 1];
  }

  /** Entries from a place on; `undefined` if some are no longer kept. */
  entriesFrom(index: number, limit: number): readonly LogEntry[] | undefined {
    if (index <= this.base.index) return undefined;
    const start = index - this.base.index - 1;
    return this.entries.slice(start, start + limit);
  }

  /** Changes term, vote or cluster. */
  saveVote(change: Partial<Omit<VoteState, 'diskId'>>): void {
    this.enqueue({kind: 'vote', vote: {...this.voteHeld, ...change}});
  }

  /** Adds entries; the first one's successors, if there are any, go. */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) this.enqueue({kind: 'entry', entry});
  }

  /** Keeps the state after a place, and forgets what led to it. */
  compact(position: LogPosition, state: Snapshot['state']): void {
    const configuration = this.configurationAt(position.index);
    const baseIndex = this.indexToKeepFrom(position.index) - 1;
    const base = {index: baseIndex, term: this.termAt(baseIndex) ?? 0};
    this.rewrite({...position, configuration, state}, base);
  }

  /** Takes another VM's snapshot in place of the log up to it. */
  install(snapshot: Snapshot): void {
    const follows = this.termAt(snapshot.index) === snapshot.term;
    if (!follows) this.entries = [];
    const {index, term} = snapshot;
    this.rewrite(snapshot, {index, term});
  }

  /** Returns once everything done so far is synced. */
  flushed(): Promise<void> {
    if (!this.writing) return Promise.resolve();
    const deferred = Deferred.create<void>();
    this.waiting = [...this.waiting, deferred];
    return deferred.promise;
  }

  /** Ends the writing; what is not synced is lost. */
  async close(): Promise<void> {
    await this.flushed();
    await this.file.close();
  }

  private configurationAt(index: number): ControlConfiguration {
    for (let place = index; place > this.snapshotHeld.index; place--) {
      const body = this.entryAt(place)?.body;
      if (body?.kind === 'configuration') return body.configuration;
    }
    return this.snapshotHeld.configuration;
  }

  /** The oldest entry worth keeping for voters that are a little behind. */
  private indexToKeepFrom(snapshotIndex: number): number {
    let index = snapshotIndex + 1;
    let bytes = 0;
    while (index > this.base.index + 1) {
      if (snapshotIndex + 1 - index >= ENTRIES_KEPT_BEHIND) break;
      bytes += encodeRecord(this.entryAt(index - 1)).length;
      if (bytes > BYTES_KEPT_BEHIND) break;
      index -= 1;
    }
    return index;
  }

  private rewrite(snapshot: Snapshot, base: LogPosition): void {
    this.take({kind: 'snapshot', snapshot, base});
    const items: readonly LogItem[] = [
      {kind: 'vote', vote: this.voteHeld},
      {kind: 'snapshot', snapshot, base},
      ...this.entries.map((entry): LogItem => ({kind: 'entry', entry})),
    ];
    this.addedBytes = 0;
    this.addTask({kind: 'rewrite', items});
  }

  private enqueue(item: LogItem): void {
    this.take(item);
    this.addTask({kind: 'append', item});
  }

  private take(item: LogItem): void {
    this.latestConfiguration = undefined;
    if (item.kind === 'vote') {
      this.voteHeld = item.vote;
    } else if (item.kind === 'entry') {
      const {entry} = item;
      this.entries.length = entry.index - this.base.index - 1;
      this.entries.push(entry);
      this.flushedTo = Math.min(this.flushedTo, entry.index - 1);
    } else {
      const {snapshot, base} = item;
      this.entries = this.entries.filter(({index}) => index > base.index);
      this.snapshotHeld = snapshot;
      this.base = base;
    }
  }

  private addTask(task: WriteTask): void {
    this.tasks = [...this.tasks, task];
    if (this.writing) return;
    this.writing = true;
    void this.writeAll();
  }

  /** The one task that writes: in order, whatever is there at once. */
  private async writeAll(): Promise<void> {
    try {
      while (this.tasks.length > 0) {
        // Whatever is added in the same turn goes into the same record.
        await Promise.resolve();
        const startedAt = this.context.timer.now();
        await this.writeSome();
        const took = this.context.timer.now() - startedAt;
        if (took > SLOW_WRITE_MILLISECONDS) this.context.slow(took);
      }
      this.writing = false;
      this.resolveWaiting(this.waiting);
    } catch (failure) {
      // Still `writing`: nobody is told that anything more was synced.
      this.context.failed(diskError(this.folder, failure));
    }
  }

  private async writeSome(): Promise<void> {
    const {tasks, waiting} = this;
    const lastIndex = this.last.index;
    this.tasks = [];
    this.waiting = [];
    let overwrittenTo = lastIndex;
    const rewriteAt = tasks.findLastIndex(task => task.kind === 'rewrite');
    const rewrite = tasks[rewriteAt];
    // What comes before a rewrite is in it.
    if (rewrite?.kind === 'rewrite') await this.beginFile(rewrite.items);
    const items = tasks
      .slice(rewriteAt + 1)
      .flatMap(task => (task.kind === 'append' ? [task.item] : []));
    if (items.length > 0) {
      const bytes = encodeRecord(items);
      this.addedBytes += bytes.length;
      await this.file.append(bytes);
      await this.file.sync();
    }
    // An entry that was overwritten meanwhile is not the one that was synced.
    for (const task of this.tasks) {
      if (task.kind !== 'append' || task.item.kind !== 'entry') continue;
      overwrittenTo = Math.min(overwrittenTo, task.item.entry.index - 1);
    }
    this.flushedTo = overwrittenTo;
    this.resolveWaiting(waiting);
  }

  private resolveWaiting(waiting: ReadonlyArray<Deferred<void>>): void {
    this.waiting = this.waiting.filter(other => !waiting.includes(other));
    for (const deferred of waiting) deferred.resolve();
  }

  private async beginFile(items: readonly LogItem[]): Promise<void> {
    const old = fileName(this.generation);
    const name = fileName(this.generation + 1);
    const bytes = encodeRecord(items);
    await this.folder.replace(name, bytes);
    await this.file.close();
    this.file = await this.folder.openAt(name, bytes.length);
    this.firstBytes = bytes.length;
    this.generation += 1;
    await this.folder.remove(old);
  }
}

async function begin(
  folder: StorageFolder,
  diskId: string,
  context: DurableLogContext,
): Promise<DurableLog> {
  const vote = {diskId, cluster: undefined, term: 0, vote: undefined};
  const bytes = encodeRecord([{kind: 'vote', vote}]);
  await folder.replace(fileName(1), bytes);
  const file = await folder.openAt(fileName(1), bytes.length);
  return DurableLog.fresh(folder, vote, file, context);
}

async function generationsIn(
  folder: StorageFolder,
): Promise<readonly number[]> {
  const names = await folder.list();
  return names
    .flatMap(name => LOG_FILE_PATTERN.exec(name)?.[1] ?? [])
    .map(Number)
    .sort((left, right) => left - right);
}

function fileName(generation: number): string {
  return `log-${String(generation).padStart(GENERATION_DIGITS, '0')}`;
}

function diskError(folder: StorageFolder, failure: unknown): StorageError {
  return {kind: 'disk', file: folder.path, reason: String(failure)};
}
