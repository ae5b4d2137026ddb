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
import {overloaded, ScheduleError} from './schedule_error.js';
import {Turn, TurnKeeper} from './turn.js';

/** A wish for a connection and a slot. */
export interface WorkRequest {
  readonly entry: string;
  readonly session: string;
  readonly purpose: Purpose;
  readonly waitMilliseconds: number;
  /** Resolves if the caller goes away meanwhile. */
  readonly abandoned: Promise<unknown>;
}

/** What a scheduler needs. */
export interface WorkSchedulerOptions {
  readonly pool: ConnectionPool;
  readonly limits: OwnerLimits;
  readonly timer: TimerService;
  /** Whether this process may still count on being the owner. */
  readonly current?: () => boolean;
}

/**
 * Decides whose statement the member runs next. All limits are kept here: a
 * lease holds a connection until it ends, a statement holds a slot while it
 * runs. Entries share by weighted fair queueing in slot time, sessions of an
 * entry take turns, and open transactions go before new ones, since they hold
 * locks and connections. Source: Goyal, Vin and Cheng, "Start-time fair
 * queuing", 1996.
 */
export class WorkScheduler implements TurnKeeper {
  readonly pool: ConnectionPool;
  readonly timer: TimerService;
  private readonly accounts = new Map<string, EntryAccount>();
  private named: ReadonlySet<string> = new Set();
  private limits: OwnerLimits;
  private running = 0;
  /** The virtual time of the flow that was served last. */
  private virtualNow = 0;
  private paused = false;
  private closed = false;

  private readonly current: () => boolean;

  private constructor(options: WorkSchedulerOptions) {
    const {pool, limits, timer} = options;
    this.current = options.current ?? (() => true);
    this.pool = pool;
    this.timer = timer;
    this.limits = limits;
    pool.onChange(() => this.dispatch());
    pool.onUnreachable(() => this.refuseAll({kind: 'unreachable'}));
    this.setLimits(limits);
  }

  /** A scheduler for the connections of a pool. */
  static create(options: WorkSchedulerOptions): WorkScheduler {
    return new WorkScheduler(options);
  }

  /** Leases that have begun and not ended, by entry. */
  get leases(): Readonly<Record<string, number>> {
    const used = [...this.accounts].filter(([, {lent}]) => lent > 0);
    return Object.fromEntries(used.map(([entry, {lent}]) => [entry, lent]));
  }

  /** Takes over limits; what is over them ends by itself. */
  setLimits(limits: OwnerLimits): void {
    this.limits = limits;
    this.named = new Set(limits.entries.map(({entry}) => entry));
    for (const allowance of limits.entries) {
      const known = this.accounts.get(allowance.entry);
      if (known !== undefined) known.allowance = allowance;
      else {
        const account = EntryAccount.create(allowance);
        this.accounts.set(allowance.entry, account);
      }
    }
    for (const [entry, account] of this.accounts) {
      if (!this.named.has(entry) && account.unused) this.accounts.delete(entry);
    }
    this.pool.setMaximum(limits.connections);
    this.dispatch();
  }

  /** While paused nothing new begins; open transactions go on. */
  setPaused(paused: boolean): void {
    this.paused = paused;
    this.dispatch();
  }

  /** Waits for a connection and a slot. */
  async begin(request: WorkRequest): Promise<Either<ScheduleError, Turn>> {
    if (this.closed) return Left({kind: 'notOwner'});
    const account = this.accounts.get(request.entry);
    if (account === undefined || !this.named.has(request.entry)) {
      return Left({kind: 'unknownEntry'});
    }
    const {purpose, session} = request;
    account.wanted(purpose, this.timer.now());
    const waiting: WaitingLease = {session, turn: Deferred.create()};
    this.enqueue(account.flows[purpose], waiting);
    this.dispatch();
    this.refuseEarly(account, request, waiting);
    return this.waitFor(account, request, waiting);
  }

  /** Begins nothing any more and refuses what waits. */
  close(): void {
    this.closed = true;
    this.refuseAll({kind: 'notOwner'});
  }

  async continue(
    account: EntryAccount,
    purpose: Purpose,
    waitMilliseconds: number,
  ): Promise<boolean> {
    const waiting: WaitingStatement = {purpose, turn: Deferred.create()};
    account.continuing = [...account.continuing, waiting];
    this.dispatch();
    const stop = this.timer.once(waitMilliseconds, () => {
      account.continuing = without(account.continuing, waiting);
      waiting.turn.resolve(false);
    });
    const started = await waiting.turn.promise;
    stop();
    return started;
  }

  statementEnded(
    account: EntryAccount,
    purpose: Purpose,
    heldMilliseconds: number,
  ): void {
    const flow = account.flows[purpose];
    // What was charged when the statement began was only an estimate.
    const estimate = account.statementTime.milliseconds;
    this.charge(flow, heldMilliseconds - estimate);
    account.statementTime.add(heldMilliseconds);
    account.countStatement(purpose, -1);
    this.running -= 1;
    this.dispatch();
  }

  leaseEnded(
    account: EntryAccount,
    purpose: Purpose,
    heldMilliseconds: number,
  ): void {
    account.countLease(purpose, -1);
    account.leaseTime.add(heldMilliseconds);
    this.dispatch();
  }

  private enqueue(flow: Flow, waiting: WaitingLease): void {
    // A flow that was idle may not use up time that it did not wait for.
    if (flow.queue.length === 0) {
      flow.virtualTime = Math.max(flow.virtualTime, this.virtualNow);
    }
    flow.queue.push(waiting.session, waiting);
  }

  /** Refuses at once what would be refused after waiting. */
  private refuseEarly(
    account: EntryAccount,
    request: WorkRequest,
    waiting: WaitingLease,
  ): void {
    const expected = account.expectedWait(this.slotShare(account));
    const tooMany = account.waiting > account.allowance.limits.queueLength;
    if (!tooMany && expected <= request.waitMilliseconds) return;
    withdraw(account.flows[request.purpose], waiting, overloaded(expected));
  }

  private async waitFor(
    account: EntryAccount,
    request: WorkRequest,
    waiting: WaitingLease,
  ): Promise<Either<ScheduleError, Turn>> {
    const flow = account.flows[request.purpose];
    const stop = this.timer.once(request.waitMilliseconds, () => {
      const expected = account.expectedWait(this.slotShare(account));
      withdraw(flow, waiting, overloaded(expected));
    });
    void request.abandoned.then(() =>
      withdraw(flow, waiting, {kind: 'abandoned'}),
    );
    const outcome = await waiting.turn.promise;
    stop();
    return outcome;
  }

  /** How many slots an entry has while all that wait now want some. */
  private slotShare(account: EntryAccount): number {
    const busy = [...this.accounts.values()].filter(
      other => other === account || other.waiting > 0,
    );
    const weights = sum(busy.map(other => other.allowance.weight));
    const share = (this.limits.slots * account.allowance.weight) / weights;
    return Math.min(account.allowance.limits.slots, share);
  }

  private dispatch(): void {
    if (!this.current()) return;
    while (this.continueNext()) continue;
    while (this.beginNext()) continue;
    if (!this.paused) this.pool.want(this.wantedConnections());
  }

  private continueNext(): boolean {
    if (this.running >= this.limits.slots) return false;
    const ready = [...this.accounts.values()].find(
      account => account.continuing.length > 0 && account.mayContinue,
    );
    const [next, ...rest] = ready?.continuing ?? [];
    if (ready === undefined || next === undefined) return false;
    ready.continuing = rest;
    this.countStatement(ready.flows[next.purpose]);
    next.turn.resolve(true);
    return true;
  }

  private beginNext(): boolean {
    if (this.paused || this.running >= this.limits.slots) return false;
    const flow = this.nextFlow();
    if (flow === undefined) return false;
    const connection = this.pool.take();
    if (connection === undefined) return false;
    const {account, purpose, queue} = flow;
    const waiting = queue.shift() as WaitingLease;
    this.virtualNow = flow.virtualTime;
    account.countLease(purpose, 1);
    this.countStatement(flow);
    waiting.turn.resolve(Right(Turn.start(connection, account, purpose, this)));
    return true;
  }

  /** The flow that may go and has had the least. */
  private nextFlow(): Flow | undefined {
    const now = this.timer.now();
    let best: Flow | undefined;
    for (const account of this.accounts.values()) {
      for (const purpose of PURPOSES) {
        const flow = account.flows[purpose];
        if (flow.queue.length === 0) continue;
        if (!account.mayBegin(purpose, now)) continue;
        const first = best === undefined || flow.virtualTime < best.virtualTime;
        if (first) best = flow;
      }
    }
    return best;
  }

  private countStatement(flow: Flow): void {
    this.running += 1;
    flow.account.countStatement(flow.purpose, 1);
    this.charge(flow, flow.account.statementTime.milliseconds);
  }

  private charge(flow: Flow, milliseconds: number): void {
    const weight = flow.account.allowance.weight * flow.purposeWeight;
    flow.virtualTime += milliseconds / weight;
  }

  private wantedConnections(): number {
    const room = sum([...this.accounts.values()].map(({room}) => room));
    return Math.max(0, Math.min(room, this.limits.slots - this.running));
  }

  private refuseAll(error: ScheduleError): void {
    for (const account of this.accounts.values()) {
      for (const purpose of PURPOSES) {
        const {queue} = account.flows[purpose];
        while (queue.length > 0) queue.shift()?.turn.resolve(Left(error));
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
  waiting.turn.resolve(Left(error));
}

function without<T>(items: readonly T[], item: T): readonly T[] {
  return items.filter(other => other !== item);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
