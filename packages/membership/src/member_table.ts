import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {isLive, MemberRecord, supersedes} from './member_record.js';

const BUCKET_COUNT = 32;
const BYTES_PER_BUCKET = 4;
const MAXIMUM_MEMBERS = 8_192;
/** How long records of processes that are dead or have left are retained. */
const RETENTION_MILLISECONDS = 3_600_000;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

interface TableEntry {
  readonly record: MemberRecord;
  readonly changedAt: number;
}

/**
 * The records of all known processes, by name. Two processes compare digests of
 * fixed size to find out where their tables differ.
 */
export class MemberTable {
  private readonly entries = new Map<string, TableEntry>();
  private readonly buckets = new Uint32Array(BUCKET_COUNT);
  private cachedLiveNames: readonly string[] | undefined;
  private liveRecordCount = 0;

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty table. */
  static create(timer: TimerService): MemberTable {
    return new MemberTable(timer);
  }

  /** Returns the record of a process, or `undefined` if it is not known. */
  find(name: string): MemberRecord | undefined {
    return this.entries.get(name)?.record;
  }

  /**
   * Stores a record if it is newer than the known one. Returns whether it was
   * stored. Records of unknown processes are ignored while the table is full.
   */
  merge(record: MemberRecord): boolean {
    const known = this.find(record.machine.name);
    if (known === undefined && this.entries.size >= MAXIMUM_MEMBERS) {
      return false;
    }
    if (known !== undefined && !supersedes(record, known)) return false;
    const {name} = record.machine;
    if (known !== undefined) this.toggleInDigest(known);
    this.entries.set(name, {record, changedAt: this.timer.now()});
    this.toggleInDigest(record);
    const wasLive = known !== undefined && isLive(known);
    if (wasLive !== isLive(record)) {
      this.cachedLiveNames = undefined;
      this.liveRecordCount += wasLive ? -1 : 1;
    }
    return true;
  }

  /** The number of processes that count as running. */
  get liveCount(): number {
    return this.liveRecordCount;
  }

  /**
   * Returns the sorted names of the processes that count as running. The array
   * stays the same object until one of these processes is added or removed.
   */
  listLiveNames(): readonly string[] {
    this.cachedLiveNames ??= [...this.entries.values()]
      .filter(({record}) => isLive(record))
      .map(({record}) => record.machine.name)
      .sort();
    return this.cachedLiveNames;
  }

  /** Returns the processes that count as running, sorted by name. */
  listLiveMachines(): readonly VirtualMachine[] {
    return this.listLiveNames().map(
      name => (this.find(name) as MemberRecord).machine,
    );
  }

  /**
   * Returns the records of processes that are considered dead. They may still
   * be running, but unreachable.
   */
  listDeadRecords(): readonly MemberRecord[] {
    return [...this.entries.values()]
      .map(({record}) => record)
      .filter(({standing}) => standing === 'dead');
  }

  /**
   * Removes processes whose dead or left records are older than the retention
   * period. Returns their names.
   */
  removeExpired(): readonly string[] {
    const expiryTime = this.timer.now() - RETENTION_MILLISECONDS;
    const expiredNames = [...this.entries.values()]
      .filter(
        ({record, changedAt}) => !isLive(record) && changedAt < expiryTime,
      )
      .map(({record}) => record.machine.name);
    for (const name of expiredNames) this.entries.delete(name);
    return expiredNames;
  }

  /** Returns a digest of the live records, of the same size for every table. */
  digest(): Buffer {
    const digest = Buffer.alloc(BUCKET_COUNT * BYTES_PER_BUCKET);
    this.buckets.forEach((value, bucket) =>
      digest.writeUInt32LE(value, bucket * BYTES_PER_BUCKET),
    );
    return digest;
  }

  /**
   * Returns all records, dead ones included, of the buckets in which this table
   * differs from `digest`. Returns none if `digest` has an unexpected length.
   */
  collectDifferences(digest: Uint8Array): readonly MemberRecord[] {
    const remoteDigest = Buffer.from(digest);
    if (remoteDigest.length !== BUCKET_COUNT * BYTES_PER_BUCKET) return [];
    const bucketDiffers = [...this.buckets].map(
      (value, bucket) =>
        remoteDigest.readUInt32LE(bucket * BYTES_PER_BUCKET) !== value,
    );
    if (!bucketDiffers.includes(true)) return [];
    return [...this.entries.values()]
      .map(({record}) => record)
      .filter(record => bucketDiffers[getBucket(record.machine.name)]);
  }

  /** Returns whether `digest` belongs to a table with the same live records. */
  matches(digest: Uint8Array): boolean {
    return this.digest().equals(digest);
  }

  /** Adds a live record to the digest, or removes it; XOR does both. */
  private toggleInDigest(record: MemberRecord): void {
    if (!isLive(record)) return;
    const {name, incarnation} = record.machine;
    const bucket = getBucket(name);
    const hash = fnv1a(`${name} ${incarnation} ${record.refutation}`);
    this.buckets[bucket] = (this.buckets[bucket] as number) ^ hash;
  }
}

function getBucket(name: string): number {
  return fnv1a(name) % BUCKET_COUNT;
}

/** Returns the 32-bit FNV-1a hash of a text. */
function fnv1a(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
