import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {isLive, MemberRecord, supersedes} from './member_record.js';

const BUCKETS = 32;
const BYTES_A_BUCKET = 4;
const MAXIMUM_MEMBERS = 8_192;
const FORGET_AFTER_MILLISECONDS = 3_600_000;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

interface Entry {
  readonly record: MemberRecord;
  readonly changedAt: number;
}

/**
 * What this process knows of all others, by name. A digest of it, of fixed
 * size, lets two processes find where their tables differ.
 */
export class MemberTable {
  private readonly entries = new Map<string, Entry>();
  private readonly buckets = new Uint32Array(BUCKETS);
  private liveNames: readonly string[] | undefined;
  private liveRecords = 0;

  private constructor(private readonly timer: TimerService) {}

  /** A table without records. */
  static create(timer: TimerService): MemberTable {
    return new MemberTable(timer);
  }

  /** What is known of a process. */
  find(name: string): MemberRecord | undefined {
    return this.entries.get(name)?.record;
  }

  /** Keeps a record if it is newer than the known one; tells whether it was. */
  offer(record: MemberRecord): boolean {
    const known = this.find(record.machine.name);
    if (known === undefined && this.entries.size >= MAXIMUM_MEMBERS) {
      return false;
    }
    if (known !== undefined && !supersedes(record, known)) return false;
    const {name} = record.machine;
    if (known !== undefined) this.toggle(known);
    this.entries.set(name, {record, changedAt: this.timer.now()});
    this.toggle(record);
    const wasLive = known !== undefined && isLive(known);
    if (wasLive !== isLive(record)) {
      this.liveNames = undefined;
      this.liveRecords += wasLive ? -1 : 1;
    }
    return true;
  }

  /** How many processes count as running. */
  get liveCount(): number {
    return this.liveRecords;
  }

  /** Names of the processes that count as running, in order. */
  live(): readonly string[] {
    this.liveNames ??= [...this.entries.values()]
      .filter(({record}) => isLive(record))
      .map(({record}) => record.machine.name)
      .sort();
    return this.liveNames;
  }

  /** The processes that count as running, in the order of their names. */
  liveMachines(): readonly VirtualMachine[] {
    return this.live().map(name => (this.find(name) as MemberRecord).machine);
  }

  /** Processes that are thought dead, which may only have been cut off. */
  dead(): readonly MemberRecord[] {
    return [...this.entries.values()]
      .map(({record}) => record)
      .filter(({standing}) => standing === 'dead');
  }

  /** Drops what has been dead, or has left, for long. Gives the names. */
  forget(): readonly string[] {
    const before = this.timer.now() - FORGET_AFTER_MILLISECONDS;
    const old = [...this.entries.values()]
      .filter(({record, changedAt}) => !isLive(record) && changedAt < before)
      .map(({record}) => record.machine.name);
    for (const name of old) this.entries.delete(name);
    return old;
  }

  /** A digest of the live records, of the same size for every table. */
  digest(): Buffer {
    const digest = Buffer.alloc(BUCKETS * BYTES_A_BUCKET);
    this.buckets.forEach((value, bucket) =>
      digest.writeUInt32LE(value, bucket * BYTES_A_BUCKET),
    );
    return digest;
  }

  /** All records of those buckets in which `digest` is another. */
  differing(digest: Uint8Array): readonly MemberRecord[] {
    const theirs = Buffer.from(digest);
    if (theirs.length !== BUCKETS * BYTES_A_BUCKET) return [];
    const differs = [...this.buckets].map(
      (value, bucket) => theirs.readUInt32LE(bucket * BYTES_A_BUCKET) !== value,
    );
    if (!differs.includes(true)) return [];
    return [...this.entries.values()]
      .map(({record}) => record)
      .filter(record => differs[bucketOf(record.machine.name)]);
  }

  /** Whether `digest` is that of a table with the same live records. */
  matches(digest: Uint8Array): boolean {
    return this.digest().equals(digest);
  }

  private toggle(record: MemberRecord): void {
    if (!isLive(record)) return;
    const {name, incarnation} = record.machine;
    const bucket = bucketOf(name);
    const hash = fnv(`${name} ${incarnation} ${record.refutation}`);
    this.buckets[bucket] = (this.buckets[bucket] as number) ^ hash;
  }
}

function bucketOf(name: string): number {
  return fnv(name) % BUCKETS;
}

/** The 32-bit FNV-1a hash of a text. */
function fnv(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
