import {Either} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {DurationAverage} from './duration_average.js';
import {EntryAllowance} from './owner_limits.js';
import {SessionQueue} from './session_queue.js';
import {ScheduleError} from './schedule_error.js';
import {Turn} from './turn.js';

/** What a lease is for. */
export type Purpose = 'read' | 'write';

/** Both purposes; a tie goes to the first. */
export const PURPOSES: readonly Purpose[] = ['write', 'read'];

const WRITE_WEIGHT = 4;
const READ_WEIGHT = 1;
/** The part of an entry's limit that reads leave to its writes: one in four. */
const WRITE_RESERVE_DIVISOR = 4;
const WRITE_MEMORY_MILLISECONDS = 5_000;

/** Work that waits for a connection and a slot. */
export interface WaitingLease {
  readonly session: string;
  readonly turn: Deferred<Either<ScheduleError, Turn>>;
}

/** A statement of an open transaction that waits for a slot. */
export interface WaitingStatement {
  readonly purpose: Purpose;
  readonly turn: Deferred<boolean>;
}

/** The work of one purpose of an entry, in weighted fair queueing. */
export interface Flow {
  readonly account: EntryAccount;
  readonly purpose: Purpose;
  readonly queue: SessionQueue<WaitingLease>;
  readonly purposeWeight: number;
  /** Slot time had so far, in milliseconds divided by the weight. */
  virtualTime: number;
}

/** What one entry uses of a member, and what of it waits. */
export class EntryAccount {
  /** How long statements hold a slot. */
  readonly statementTime = DurationAverage.create();
  /** How long leases hold a connection. */
  readonly leaseTime = DurationAverage.create();
  readonly flows: Readonly<Record<Purpose, Flow>>;
  continuing: readonly WaitingStatement[] = [];
  private readonly leases = {read: 0, write: 0};
  private readonly statements = {read: 0, write: 0};
  private lastWriteAt = -Infinity;

  private constructor(public allowance: EntryAllowance) {
    this.flows = {
      read: this.flow('read', READ_WEIGHT),
      write: this.flow('write', WRITE_WEIGHT),
    };
  }

  /** An account that uses nothing yet. */
  static create(allowance: EntryAllowance): EntryAccount {
    return new EntryAccount(allowance);
  }

  /** Connections lent to the entry. */
  get lent(): number {
    return this.leases.read + this.leases.write;
  }

  /** Statements that the member runs for the entry. */
  get running(): number {
    return this.statements.read + this.statements.write;
  }

  /** Leases that wait. */
  get waiting(): number {
    return this.flows.read.queue.length + this.flows.write.queue.length;
  }

  /** Whether nothing of the entry is here. */
  get unused(): boolean {
    return this.lent === 0 && this.waiting === 0;
  }

  /** Whether a statement of an open transaction may run. */
  get mayContinue(): boolean {
    return this.running < this.allowance.limits.slots;
  }

  /** Whether a lease may begin now, as far as the entry's limits go. */
  mayBegin(purpose: Purpose, now: number): boolean {
    const {connections, slots} = this.allowance.limits;
    if (this.lent >= connections || this.running >= slots) return false;
    const writing = now - this.lastWriteAt < WRITE_MEMORY_MILLISECONDS;
    if (purpose === 'write' || !writing) return true;
    return (
      this.leases.read < withoutReserve(connections) &&
      this.statements.read < withoutReserve(slots)
    );
  }

  /** How many more leases the limits would let begin now. */
  get room(): number {
    const {connections, slots} = this.allowance.limits;
    const room = Math.min(connections - this.lent, slots - this.running);
    return Math.max(0, Math.min(room, this.waiting));
  }

  /** Notes that a lease is wanted. */
  wanted(purpose: Purpose, now: number): void {
    if (purpose === 'write') this.lastWriteAt = now;
  }

  /** Counts a lease that begins, or with −1 one that ends. */
  countLease(purpose: Purpose, change: 1 | -1): void {
    this.leases[purpose] += change;
  }

  /** Counts a statement that begins, or with −1 one that ends. */
  countStatement(purpose: Purpose, change: 1 | -1): void {
    this.statements[purpose] += change;
  }

  /**
   * How long the last in the queue will wait, in milliseconds, if the entry
   * has `slots` of its own.
   */
  expectedWait(slots: number): number {
    const {connections} = this.allowance.limits;
    const forSlots = this.statementTime.milliseconds / Math.max(slots, 1);
    const forConnections =
      this.leaseTime.milliseconds / Math.max(connections, 1);
    return this.waiting * Math.max(forSlots, forConnections);
  }

  private flow(purpose: Purpose, purposeWeight: number): Flow {
    const queue = SessionQueue.create<WaitingLease>();
    return {account: this, purpose, queue, purposeWeight, virtualTime: 0};
  }
}

function withoutReserve(limit: number): number {
  const reserve = Math.max(1, Math.floor(limit / WRITE_RESERVE_DIVISOR));
  return Math.max(1, limit - reserve);
}
