import {Either} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {DurationAverage} from './duration_average.js';
import {EntryAllowance} from './owner_limits.js';
import {SessionQueue} from './session_queue.js';
import {ScheduleError} from './schedule_error.js';
import {ConnectionCheckout} from './connection_checkout.js';

/** The kind of access that a connection lease is requested for. */
export type Purpose = 'read' | 'write';

/** Both purposes; writes come first, so that they win a tie within an entry. */
export const PURPOSES: readonly Purpose[] = ['write', 'read'];

const WRITE_WEIGHT = 4;
const READ_WEIGHT = 1;
/** One of this many connections or slots of an entry is reserved for writes. */
const WRITE_RESERVE_DIVISOR = 4;
/** How long the reserve for writes stays in force after a write request. */
const WRITE_RESERVE_DURATION_MILLISECONDS = 5_000;

/** A lease request that waits for a connection and a slot. */
export interface WaitingLease {
  readonly session: string;
  readonly outcome: Deferred<Either<ScheduleError, ConnectionCheckout>>;
}

/** A statement of an open transaction that waits for a slot. */
export interface WaitingStatement {
  readonly purpose: Purpose;
  readonly slotGranted: Deferred<boolean>;
}

/**
 * Requests of one entry and purpose: one flow of the weighted fair queueing.
 */
export interface Flow {
  readonly account: EntryAccount;
  readonly purpose: Purpose;
  readonly queue: SessionQueue<WaitingLease>;
  readonly purposeWeight: number;
  /**
   * Slot time used so far, in milliseconds divided by the weight. After the flow
   * was idle, it is raised to the virtual time of the flow served last.
   */
  virtualTime: number;
}

/**
 * Tracks the use of a member by one entry, and the entry's waiting requests.
 */
export class EntryAccount {
  /** Average time for which a statement holds a slot. */
  readonly statementTime = DurationAverage.create();
  /** Average time for which a lease holds a connection. */
  readonly leaseTime = DurationAverage.create();
  readonly flows: Readonly<Record<Purpose, Flow>>;
  waitingStatements: readonly WaitingStatement[] = [];
  private readonly leaseCounts = {read: 0, write: 0};
  private readonly statementCounts = {read: 0, write: 0};
  private lastWriteRequestAt = -Infinity;

  private constructor(public allowance: EntryAllowance) {
    this.flows = {
      read: this.createFlow('read', READ_WEIGHT),
      write: this.createFlow('write', WRITE_WEIGHT),
    };
  }

  /** Creates an account without leases or requests. */
  static create(allowance: EntryAllowance): EntryAccount {
    return new EntryAccount(allowance);
  }

  /** Number of connections leased to the entry. */
  get leaseCount(): number {
    return this.leaseCounts.read + this.leaseCounts.write;
  }

  /** Number of statements that the member is running for the entry. */
  get running(): number {
    return this.statementCounts.read + this.statementCounts.write;
  }

  /** Number of lease requests that wait. */
  get waiting(): number {
    return this.flows.read.queue.length + this.flows.write.queue.length;
  }

  /** Whether the entry has neither leases nor waiting lease requests. */
  get unused(): boolean {
    return this.leaseCount === 0 && this.waiting === 0;
  }

  /**
   * Whether the entry's slot limit allows another statement of an open
   * transaction.
   */
  get hasFreeSlot(): boolean {
    return this.running < this.allowance.limits.slots;
  }

  /**
   * Returns whether the entry's limits allow a lease to start now. For some
   * time after a write request, reads may not use the part reserved for writes.
   */
  mayStart(purpose: Purpose, now: number): boolean {
    const {connections, slots} = this.allowance.limits;
    if (this.leaseCount >= connections || this.running >= slots) return false;
    const hasRecentWrite =
      now - this.lastWriteRequestAt < WRITE_RESERVE_DURATION_MILLISECONDS;
    if (purpose === 'write' || !hasRecentWrite) return true;
    return (
      this.leaseCounts.read < subtractWriteReserve(connections) &&
      this.statementCounts.read < subtractWriteReserve(slots)
    );
  }

  /**
   * Number of waiting leases that the entry's limits would allow to start now.
   */
  get startableCount(): number {
    const {connections, slots} = this.allowance.limits;
    const capacity = Math.min(
      connections - this.leaseCount,
      slots - this.running,
    );
    return Math.max(0, Math.min(capacity, this.waiting));
  }

  /** Records a lease request; a write request renews the reserve for writes. */
  recordRequest(purpose: Purpose, now: number): void {
    if (purpose === 'write') this.lastWriteRequestAt = now;
  }

  /** Updates the lease count: 1 when a lease starts, −1 when it ends. */
  countLease(purpose: Purpose, change: 1 | -1): void {
    this.leaseCounts[purpose] += change;
  }

  /**
   * Updates the statement count: 1 when a statement starts, −1 when it ends.
   */
  countStatement(purpose: Purpose, change: 1 | -1): void {
    this.statementCounts[purpose] += change;
  }

  /**
   * Estimates how long the last request in the queue will wait, in
   * milliseconds, if the entry can use `slots` slots.
   */
  expectedWait(slots: number): number {
    const {connections} = this.allowance.limits;
    const forSlots = this.statementTime.milliseconds / Math.max(slots, 1);
    const forConnections =
      this.leaseTime.milliseconds / Math.max(connections, 1);
    return this.waiting * Math.max(forSlots, forConnections);
  }

  private createFlow(purpose: Purpose, purposeWeight: number): Flow {
    const queue = SessionQueue.create<WaitingLease>();
    return {account: this, purpose, queue, purposeWeight, virtualTime: 0};
  }
}

function subtractWriteReserve(limit: number): number {
  const reserve = Math.max(1, Math.floor(limit / WRITE_RESERVE_DIVISOR));
  return Math.max(1, limit - reserve);
}
