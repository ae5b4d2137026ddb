import {Either, Left, Right} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {ConnectionDemand} from './connection_choice.js';
import {fairCost} from './fair_shares.js';
import {ComparedWork, WorkAhead} from './work_ahead.js';
import {Backlog, RankedWork, WorkBacklogs} from './work_backlogs.js';

/** The estimated duration of a statement before any has been measured. */
const INITIAL_MEAN_MILLISECONDS = 12;
/** The weight of the newest duration in the moving average. */
const MEAN_WEIGHT = 0.1;
/** The shortest wait that a refusal reports. */
const MINIMUM_RETRY_MILLISECONDS = 10;
/** Precedes all priorities of new work, which are 0 and larger numbers. */
const OPEN_TRANSACTION_PRIORITY = -1;

/** The organisation for which work is done, if there is one. */
export interface QueueRequester {
  readonly organisation?: string | undefined;
  /** The priority of that organisation; 0 is the highest. */
  readonly organisationPriority?: number | undefined;
}

/** The scheduling parameters of new work. */
export interface QueueRequest extends QueueRequester {
  /** 0 is the highest priority; larger numbers are lower priorities. */
  readonly priority: number;
  /** The longest wait for a slot and a connection, in milliseconds. */
  readonly waitMilliseconds: number;
  /** The time until the answer is late, in milliseconds; 0 if it is already. */
  readonly objectiveMilliseconds: number;
}

/** Work that waits for a slot, and for a connection if it has none yet. */
interface QueuedWork<Connection> extends RankedWork {
  readonly admission: Deferred<Either<QueueRefusal, Connection | undefined>>;
}

/** Work was refused because it would wait, or has waited, too long. */
export interface QueueRefusal {
  readonly expectedWaitMilliseconds: number;
}

/** Options of a work queue. */
export interface WorkQueueOptions<Connection> {
  readonly slots: number;
  readonly timer: TimerService;
  /** Returns a free connection for work of an organisation, or `undefined`. */
  readonly takeConnection: (
    organisation: string | undefined,
  ) => Connection | undefined;
  /**
   * Receives the work that waits for connections, in the order in which it will
   * be served, and the mean duration of a statement.
   */
  readonly requestConnections: (
    demands: readonly ConnectionDemand[],
    meanMilliseconds: number,
  ) => void;
}

/**
 * Schedules the statements of one member. Load pattern: more statements than
 * slots, with several priorities, some of them in open transactions, and the
 * backlog of an outage that arrives all at once.
 *
 * Open transactions are served first, because they hold locks and connections,
 * and then work of higher priority. Within a priority, work that can still meet
 * its objective precedes work that is already late, so that a backlog does not
 * delay all later work beyond its objective; then organisations share the slots
 * by start-time fair queueing, and the oldest work comes first. Work whose
 * expected wait exceeds its limit is refused immediately instead of after a
 * long wait.
 *
 * The queue performs no I/O. Its owner reports available connections and
 * finished statements.
 */
export class WorkQueue<Connection> {
  private readonly waiting = WorkBacklogs.create<QueuedWork<Connection>>();
  private running = 0;
  private slots: number;
  private meanMilliseconds = INITIAL_MEAN_MILLISECONDS;

  private constructor(private readonly options: WorkQueueOptions<Connection>) {
    this.slots = options.slots;
  }

  /** Creates an empty queue. */
  static create<Connection>(
    options: WorkQueueOptions<Connection>,
  ): WorkQueue<Connection> {
    return new WorkQueue(options);
  }

  /**
   * Returns the expected wait of new work of an organisation, if its priority
   * is the lowest of all that wait, in milliseconds.
   */
  expectedWaitOf(request: QueueRequester = {}): number {
    const {size, hasOrganisations} = this.waiting;
    if (!hasOrganisations) {
      const all = {total: size, ownOnTime: size, ownLate: 0};
      return this.expectedWait(all, undefined);
    }
    let priority = 0;
    for (const work of this.waiting.works()) {
      priority = Math.max(priority, work.priority);
    }
    const compared = comparedWork(priority, request);
    const {ifLate} = this.waiting.countAhead(compared, this.lateBefore);
    return this.expectedWait(ifLate, request.organisation);
  }

  /** The number of statements that wait for a slot. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** The mean duration of a statement, in milliseconds. */
  get meanStatementMilliseconds(): number {
    return this.meanMilliseconds;
  }

  /** Sets the number of statements that are under way at once. */
  setSlots(slots: number): void {
    if (slots === this.slots) return;
    this.slots = slots;
    this.dispatch();
  }

  /**
   * Waits for a slot and a connection for new work. Resolves to `Left` at once
   * if the expected wait is too long, and later if the wait exceeds its limit,
   * `abandoned` resolves or the queued work is refused.
   */
  async acquireSlotAndConnection(
    request: QueueRequest,
    abandoned: Promise<unknown>,
  ): Promise<Either<QueueRefusal, Connection>> {
    const {priority, waitMilliseconds, objectiveMilliseconds} = request;
    const lateAt = this.options.timer.now() + objectiveMilliseconds;
    const compared = comparedWork(priority, request);
    const expectedWaitMilliseconds = this.expectedWaitOfNew(compared, lateAt);
    if (expectedWaitMilliseconds > waitMilliseconds) {
      return Left(createRefusal(expectedWaitMilliseconds));
    }
    const admission = await this.waitForAdmission(
      {...compared, lateAt, needsConnection: true},
      waitMilliseconds,
      abandoned,
    );
    return admission as Either<QueueRefusal, Connection>;
  }

  /**
   * Waits for a slot for the next statement of an open transaction, which
   * already has a connection. Resolves to `Left` if the wait exceeds its limit.
   * The statement counts towards the share of the organisation that requested
   * the transaction.
   */
  async acquireTransactionSlot(
    waitMilliseconds: number,
    request?: QueueRequest,
  ): Promise<Either<QueueRefusal, void>> {
    const lateAt = this.options.timer.now() + waitMilliseconds;
    const work = {
      ...comparedWork(OPEN_TRANSACTION_PRIORITY, {}),
      lateAt,
      needsConnection: false,
    };
    const admission = await this.waitForAdmission(work, waitMilliseconds);
    if (admission.isRight() && request?.organisation !== undefined) {
      this.waiting.chargeTransaction(comparedWork(request.priority, request));
    }
    return admission.map(() => undefined);
  }

  /**
   * Releases a slot that was held for the given time, which is included in the
   * average duration of statements.
   */
  releaseSlot(heldMilliseconds: number): void {
    this.running -= 1;
    const difference = heldMilliseconds - this.meanMilliseconds;
    this.meanMilliseconds += difference * MEAN_WEIGHT;
    this.dispatch();
  }

  /** Notifies the queue that a connection may have become free. */
  notifyConnectionAvailable(): void {
    this.dispatch();
  }

  /**
   * Refuses all queued work that needs a connection, when none can be expected.
   * Open transactions keep waiting for their slots.
   */
  refuseQueuedWork(): void {
    for (const work of [...this.waiting.works()]) {
      if (!work.needsConnection) continue;
      this.waiting.remove(work);
      work.admission.resolve(Left(createRefusal(this.meanMilliseconds)));
    }
  }

  private async waitForAdmission(
    description: Omit<QueuedWork<Connection>, 'admission' | 'since'>,
    waitMilliseconds: number,
    abandoned?: Promise<unknown>,
  ): Promise<Either<QueueRefusal, Connection | undefined>> {
    const work: QueuedWork<Connection> = {
      ...description,
      since: this.options.timer.now(),
      admission: Deferred.create(),
    };
    this.waiting.add(work);
    const withdrawWork = () => this.withdraw(work);
    const cancelTimer = this.options.timer.once(waitMilliseconds, withdrawWork);
    void abandoned?.then(withdrawWork);
    this.dispatch();
    const admission = await work.admission.promise;
    cancelTimer();
    return admission;
  }

  private withdraw(work: QueuedWork<Connection>): void {
    if (!this.waiting.remove(work)) return;
    const {organisation} = work;
    const wait = this.expectedWaitOf({organisation});
    work.admission.resolve(Left(createRefusal(wait)));
  }

  private dispatch(): void {
    let backlogs = this.rankBacklogs();
    while (this.running < this.slots && this.startFirst(backlogs)) {
      if (this.running < this.slots) backlogs = this.rankBacklogs();
    }
    const demands = backlogs
      .filter(({waiting}) => waiting > 0)
      .map(({organisation, waiting, since}) => ({
        organisation,
        waiting,
        since,
      }));
    this.options.requestConnections(demands, this.meanMilliseconds);
  }

  /** Starts the first work for which there is a connection, if there is any. */
  private startFirst(
    backlogs: ReadonlyArray<Backlog<QueuedWork<Connection>>>,
  ): boolean {
    for (const {next, isLate} of backlogs) {
      const {needsConnection, organisation, admission} = next;
      const connection = needsConnection
        ? this.options.takeConnection(organisation)
        : undefined;
      if (needsConnection && connection === undefined) continue;
      this.waiting.start(next, isLate, this.options.timer.now());
      this.running += 1;
      admission.resolve(Right(connection));
      return true;
    }
    return false;
  }

  private rankBacklogs(): ReadonlyArray<Backlog<QueuedWork<Connection>>> {
    if (this.waiting.size === 0) return [];
    return this.waiting.rank(this.lateBefore);
  }

  private expectedWaitOfNew(work: ComparedWork, lateAt: number): number {
    const {ifOnTime, ifLate} = this.waiting.countAhead(work, this.lateBefore);
    const waitIfOnTime = this.expectedWait(ifOnTime, work.organisation);
    const isLate = lateAt - waitIfOnTime < this.lateBefore;
    return isLate ? this.expectedWait(ifLate, work.organisation) : waitIfOnTime;
  }

  /**
   * Work that starts now would be late if its answer is due before this time.
   */
  private get lateBefore(): number {
    return this.options.timer.now() + this.meanMilliseconds;
  }

  /**
   * Returns the expected wait of new work. That of an organisation is at least
   * as long as its own work ahead takes at the rate at which its work has been
   * started, because work of others that arrives later may precede it.
   */
  private expectedWait(
    ahead: WorkAhead,
    organisation: string | undefined,
  ): number {
    const excess = Math.max(0, this.running + ahead.total + 1 - this.slots);
    const wait = (excess * this.meanMilliseconds) / Math.max(1, this.slots);
    if (organisation === undefined) return wait;
    return Math.max(wait, this.waiting.ownWait(organisation, ahead));
  }
}

function comparedWork(
  priority: number,
  {organisation, organisationPriority}: QueueRequester,
): ComparedWork {
  return {priority, organisation, cost: fairCost(organisationPriority)};
}

function createRefusal(expectedWaitMilliseconds: number): QueueRefusal {
  return {
    expectedWaitMilliseconds: Math.max(
      MINIMUM_RETRY_MILLISECONDS,
      Math.ceil(expectedWaitMilliseconds),
    ),
  };
}
