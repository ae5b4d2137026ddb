import {Either, Left, Right} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {ConnectionPool} from './connection_pool.js';
import {
  EntryAccount,
  Flow,
  Purpose,
  PURPOSES,
  WaitingLease,
  WaitingStatement,
} from './entry_account.js';
import {OwnerLimits} from './owner_limits.js';
import {createOverloadedError, ScheduleError} from './schedule_error.js';
import {ConnectionCheckout, CheckoutListener} from './connection_checkout.js';

/** A request for a connection and a slot. */
export interface WorkRequest {
  readonly entry: string;
  readonly session: string;
  readonly purpose: Purpose;
  readonly waitMilliseconds: number;
  /** Resolves if the lease client cancels or disconnects while it waits. */
  readonly abandoned: Promise<unknown>;
}

/** Options of {@link WorkScheduler}. */
export interface WorkSchedulerOptions {
  readonly pool: ConnectionPool;
  readonly limits: OwnerLimits;
  readonly timer: TimerService;
  /**
   * Returns whether this process may rely on still being the owner. Nothing is
   * started while it returns `false`; defaults to always `true`.
   */
  readonly isOwnershipCurrent?: () => boolean;
}

/**
 * Decides whose statement the member runs next, and enforces all limits. A
 * lease occupies a connection until it ends, a statement occupies a slot while
 * it runs. Entries share slot time by weighted fair queueing, and sessions of
 * an entry are served round robin. Statements of open transactions take
 * precedence over new leases, since they hold locks and connections. Source:
 * Goyal, Vin and Cheng, "Start-time fair queuing", 1996.
 */
export class WorkScheduler {
  readonly pool: ConnectionPool;
  readonly timer: TimerService;
  private readonly accounts = new Map<string, EntryAccount>();
  /** Names of the entries in the current limits. */
  private names: ReadonlySet<string> = new Set();
  private limits: OwnerLimits;
  private runningCount = 0;
  /** Virtual time of the flow that was served last. */
  private virtualNow = 0;
  private paused = false;
  private closed = false;

  private readonly isOwnershipCurrent: () => boolean;

  private constructor(options: WorkSchedulerOptions) {
    const {pool, limits, timer} = options;
    this.isOwnershipCurrent = options.isOwnershipCurrent ?? (() => true);
    this.pool = pool;
    this.timer = timer;
    this.limits = limits;
    pool.onChange(() => this.dispatch());
    pool.onUnreachable(() => this.refuseAll({kind: 'unreachable'}));
    this.setLimits(limits);
  }

  /** Creates a scheduler for the connections of a pool. */
  static create(options: WorkSchedulerOptions): WorkScheduler {
    return new WorkScheduler(options);
  }

  /** Number of leases that have started and not ended, by entry. */
  get leases(): Readonly<Record<string, number>> {
    const activeAccounts = [...this.accounts].filter(
      ([, {leaseCount}]) => leaseCount > 0,
    );
    return Object.fromEntries(
      activeAccounts.map(([entry, {leaseCount}]) => [entry, leaseCount]),
    );
  }

  /**
   * Applies new limits. Leases and statements above them are not interrupted;
   * new ones start once the use is below the limits.
   */
  setLimits(limits: OwnerLimits): void {
    this.limits = limits;
    this.names = new Set(limits.entries.map(({entry}) => entry));
    for (const allowance of limits.entries) {
      const known = this.accounts.get(allowance.entry);
      if (known !== undefined) known.allowance = allowance;
      else {
        const account = EntryAccount.create(allowance);
        this.accounts.set(allowance.entry, account);
      }
    }
    for (const [entry, account] of this.accounts) {
      if (!this.names.has(entry) && account.unused) this.accounts.delete(entry);
    }
    this.pool.setMaximum(limits.connections);
    this.dispatch();
  }

  /**
   * Pauses or resumes the scheduler. While it is paused no lease starts, but
   * open transactions continue.
   */
  setPaused(paused: boolean): void {
    this.paused = paused;
    this.dispatch();
  }

  /**
   * Waits for a connection and a slot. Refuses the request at once if the queue
   * is full or the expected wait exceeds `waitMilliseconds`.
   */
  async startLease(
    request: WorkRequest,
  ): Promise<Either<ScheduleError, ConnectionCheckout>> {
    if (this.closed) return Left({kind: 'notOwner'});
    const account = this.accounts.get(request.entry);
    if (account === undefined || !this.names.has(request.entry)) {
      return Left({kind: 'unknownEntry'});
    }
    const {purpose, session} = request;
    account.recordRequest(purpose, this.timer.now());
    const waiting: WaitingLease = {session, outcome: Deferred.create()};
    this.enqueue(account.flows[purpose], waiting);
    this.dispatch();
    this.refuseEarly(account, request, waiting);
    return this.waitForStart(account, request, waiting);
  }

  /** Refuses all waiting and future requests. */
  close(): void {
    this.closed = true;
    this.refuseAll({kind: 'notOwner'});
  }

  /** Returns the scheduler's side of a checkout of one flow. */
  private createListener({account, purpose}: Flow): CheckoutListener {
    const {timer, pool} = this;
    return {
      timer,
      pool,
      waitForSlot: wait => this.waitForSlot(account, purpose, wait),
      recordStatementEnd: held =>
        this.recordStatementEnd(account, purpose, held),
      recordLeaseEnd: held => this.recordLeaseEnd(account, purpose, held),
    };
  }

  private async waitForSlot(
    account: EntryAccount,
    purpose: Purpose,
    waitMilliseconds: number,
  ): Promise<boolean> {
    const waiting: WaitingStatement = {purpose, slotGranted: Deferred.create()};
    account.waitingStatements = [...account.waitingStatements, waiting];
    this.dispatch();
    const cancelTimeout = this.timer.once(waitMilliseconds, () => {
      account.waitingStatements = removeItem(
        account.waitingStatements,
        waiting,
      );
      waiting.slotGranted.resolve(false);
    });
    const slotGranted = await waiting.slotGranted.promise;
    cancelTimeout();
    return slotGranted;
  }

  private recordStatementEnd(
    account: EntryAccount,
    purpose: Purpose,
    heldMilliseconds: number,
  ): void {
    const flow = account.flows[purpose];
    // The time charged when the statement started was an estimate.
    const estimate = account.statementTime.milliseconds;
    this.charge(flow, heldMilliseconds - estimate);
    account.statementTime.add(heldMilliseconds);
    account.countStatement(purpose, -1);
    this.runningCount -= 1;
    this.dispatch();
  }

  private recordLeaseEnd(
    account: EntryAccount,
    purpose: Purpose,
    heldMilliseconds: number,
  ): void {
    account.countLease(purpose, -1);
    account.leaseTime.add(heldMilliseconds);
    this.dispatch();
  }

  private enqueue(flow: Flow, waiting: WaitingLease): void {
    // A flow earns no credit for the time in which it was idle.
    if (flow.queue.length === 0) {
      flow.virtualTime = Math.max(flow.virtualTime, this.virtualNow);
    }
    flow.queue.push(waiting.session, waiting);
  }

  /**
   * Refuses a request immediately if the queue is too long, or if it would
   * otherwise be refused after waiting.
   */
  private refuseEarly(
    account: EntryAccount,
    request: WorkRequest,
    waiting: WaitingLease,
  ): void {
    const expected = account.expectedWait(this.computeSlotShare(account));
    const tooMany = account.waiting > account.allowance.limits.queueLength;
    if (!tooMany && expected <= request.waitMilliseconds) return;
    withdraw(
      account.flows[request.purpose],
      waiting,
      createOverloadedError(expected),
    );
  }

  private async waitForStart(
    account: EntryAccount,
    request: WorkRequest,
    waiting: WaitingLease,
  ): Promise<Either<ScheduleError, ConnectionCheckout>> {
    const flow = account.flows[request.purpose];
    const cancelTimeout = this.timer.once(request.waitMilliseconds, () => {
      const expected = account.expectedWait(this.computeSlotShare(account));
      withdraw(flow, waiting, createOverloadedError(expected));
    });
    void request.abandoned.then(() =>
      withdraw(flow, waiting, {kind: 'abandoned'}),
    );
    const outcome = await waiting.outcome.promise;
    cancelTimeout();
    return outcome;
  }

  /**
   * Returns the number of slots that an entry can use, if all entries with
   * waiting requests share the slots by weight.
   */
  private computeSlotShare(account: EntryAccount): number {
    const busy = [...this.accounts.values()].filter(
      other => other === account || other.waiting > 0,
    );
    const weights = sum(busy.map(other => other.allowance.weight));
    const share = (this.limits.slots * account.allowance.weight) / weights;
    return Math.min(account.allowance.limits.slots, share);
  }

  private dispatch(): void {
    if (!this.isOwnershipCurrent()) return;
    while (this.resumeNextStatement()) continue;
    while (this.startNextLease()) continue;
    if (!this.paused) this.pool.setUsableCount(this.countUsableConnections());
  }

  private resumeNextStatement(): boolean {
    if (this.runningCount >= this.limits.slots) return false;
    const readyAccount = [...this.accounts.values()].find(
      account => account.waitingStatements.length > 0 && account.hasFreeSlot,
    );
    const [next, ...rest] = readyAccount?.waitingStatements ?? [];
    if (readyAccount === undefined || next === undefined) return false;
    readyAccount.waitingStatements = rest;
    this.countStatement(readyAccount.flows[next.purpose]);
    next.slotGranted.resolve(true);
    return true;
  }

  private startNextLease(): boolean {
    if (this.paused || this.runningCount >= this.limits.slots) return false;
    const flow = this.selectFlow();
    if (flow === undefined) return false;
    const connection = this.pool.acquire();
    if (connection === undefined) return false;
    const {account, purpose, queue} = flow;
    const waiting = queue.shift() as WaitingLease;
    this.virtualNow = flow.virtualTime;
    account.countLease(purpose, 1);
    this.countStatement(flow);
    waiting.outcome.resolve(
      Right(ConnectionCheckout.start(connection, this.createListener(flow))),
    );
    return true;
  }

  /**
   * Returns the flow with the least virtual time among those that may start a
   * lease.
   */
  private selectFlow(): Flow | undefined {
    const now = this.timer.now();
    let best: Flow | undefined;
    for (const account of this.accounts.values()) {
      for (const purpose of PURPOSES) {
        const flow = account.flows[purpose];
        if (flow.queue.length === 0) continue;
        if (!account.mayStart(purpose, now)) continue;
        const isBest =
          best === undefined || flow.virtualTime < best.virtualTime;
        if (isBest) best = flow;
      }
    }
    return best;
  }

  private countStatement(flow: Flow): void {
    this.runningCount += 1;
    flow.account.countStatement(flow.purpose, 1);
    this.charge(flow, flow.account.statementTime.milliseconds);
  }

  private charge(flow: Flow, milliseconds: number): void {
    const weight = flow.account.allowance.weight * flow.purposeWeight;
    flow.virtualTime += milliseconds / weight;
  }

  private countUsableConnections(): number {
    const startableCount = sum(
      [...this.accounts.values()].map(({startableCount}) => startableCount),
    );
    return Math.max(
      0,
      Math.min(startableCount, this.limits.slots - this.runningCount),
    );
  }

  private refuseAll(error: ScheduleError): void {
    for (const account of this.accounts.values()) {
      for (const purpose of PURPOSES) {
        const {queue} = account.flows[purpose];
        while (queue.length > 0) queue.shift()?.outcome.resolve(Left(error));
      }
    }
  }
}

function withdraw(
  flow: Flow,
  waiting: WaitingLease,
  error: ScheduleError,
): void {
  if (!flow.queue.remove(waiting.session, waiting)) return;
  waiting.outcome.resolve(Left(error));
}

function removeItem<T>(items: readonly T[], item: T): readonly T[] {
  return items.filter(other => other !== item);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
