import {Either, Left, Right} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';

const FIRST_ESTIMATE_MILLISECONDS = 12;
/** The weight of the newest statement in the running mean. */
const MEAN_WEIGHT = 0.1;
const MINIMUM_RETRY_MILLISECONDS = 10;
/** Goes before every priority of new work. */
const OPEN_TRANSACTION = -1;
const NEVER = new Promise<never>(() => undefined);

/** What new work asks of a queue. */
export interface WorkDemand {
  /** 0 goes before all others. */
  readonly priority: number;
  /** How long it may wait for a slot, in milliseconds. */
  readonly waitMilliseconds: number;
  /** How long until its answer is late, in milliseconds; may be past. */
  readonly objectiveMilliseconds: number;
}

/** Work that waits for a slot, and for a connection too if it has none. */
interface Waiting<Connection> {
  readonly priority: number;
  /** When its answer becomes late, on the timer's clock. */
  readonly lateAt: number;
  readonly needsConnection: boolean;
  readonly turn: Deferred<Either<QueueRefusal, Connection | undefined>>;
}

/** The queue is too long for what the work may wait. */
export interface QueueRefusal {
  readonly expectedWaitMilliseconds: number;
}

/** What a queue needs. */
export interface WorkQueueOptions<Connection> {
  readonly slots: number;
  readonly timer: TimerService;
  /** Takes a free connection for new work, if there is one. */
  readonly take: () => Connection | undefined;
  /** How many connections new work waits for. */
  readonly wanted: (connections: number) => void;
}

/**
 * Decides whose statement a member runs next. The load it answers: more
 * statements than slots, of several priorities, among them statements of open
 * transactions, and the backlog of an outage that arrives all at once. Open
 * transactions go first, for they hold locks and connections; then the higher
 * priority. Within one, what can still be answered in time goes before what is
 * late already, so that a backlog does not make everything behind it late too;
 * then the older. What would wait longer than it may is refused at once, and
 * never after it has waited in vain for long.
 *
 * It does no input or output: it is told of connections, and of ends.
 */
export class WorkQueue<Connection> {
  private waiting: ReadonlyArray<Waiting<Connection>> = [];
  private running = 0;
  private slots: number;
  private meanMilliseconds = FIRST_ESTIMATE_MILLISECONDS;

  private constructor(private readonly options: WorkQueueOptions<Connection>) {
    this.slots = options.slots;
  }

  /** A queue without work. */
  static create<Connection>(
    options: WorkQueueOptions<Connection>,
  ): WorkQueue<Connection> {
    return new WorkQueue(options);
  }

  /** How long new work of the lowest priority would wait, in milliseconds. */
  get expectedWaitMilliseconds(): number {
    return this.expectedWait(this.waiting.length);
  }

  /** Takes over how many statements the member runs at once. */
  setSlots(slots: number): void {
    this.slots = slots;
    this.dispatch();
  }

  /** Waits for a slot and a connection. */
  async begin(
    {priority, waitMilliseconds, objectiveMilliseconds}: WorkDemand,
    abandoned: Promise<unknown>,
  ): Promise<Either<QueueRefusal, Connection>> {
    const lateAt = this.options.timer.now() + objectiveMilliseconds;
    const expectedWaitMilliseconds = this.expectedWait(
      this.ahead(priority, lateAt),
    );
    if (expectedWaitMilliseconds > waitMilliseconds) {
      return Left(refusal(expectedWaitMilliseconds));
    }
    const turn = await this.wait(
      {priority, lateAt, needsConnection: true},
      waitMilliseconds,
      abandoned,
    );
    return turn as Either<QueueRefusal, Connection>;
  }

  /** Waits for a slot for the next statement of an open transaction. */
  async goOn(waitMilliseconds: number): Promise<Either<QueueRefusal, void>> {
    const lateAt = this.options.timer.now() + waitMilliseconds;
    const kind = {priority: OPEN_TRANSACTION, lateAt, needsConnection: false};
    const turn = await this.wait(kind, waitMilliseconds, NEVER);
    return turn.map(() => undefined);
  }

  /** A statement has given its slot back after this long. */
  ended(heldMilliseconds: number): void {
    this.running -= 1;
    const change = heldMilliseconds - this.meanMilliseconds;
    this.meanMilliseconds += change * MEAN_WEIGHT;
    this.dispatch();
  }

  /** A connection may have become free. */
  connectionsChanged(): void {
    this.dispatch();
  }

  /** Refuses all that needs a connection: there will be none. */
  refuseAll(): void {
    const refused = this.waiting.filter(({needsConnection}) => needsConnection);
    this.waiting = this.waiting.filter(({needsConnection}) => !needsConnection);
    for (const {turn} of refused) {
      turn.resolve(Left(refusal(this.meanMilliseconds)));
    }
  }

  private async wait(
    kind: Omit<Waiting<Connection>, 'turn'>,
    waitMilliseconds: number,
    abandoned: Promise<unknown>,
  ): Promise<Either<QueueRefusal, Connection | undefined>> {
    const waiting: Waiting<Connection> = {...kind, turn: Deferred.create()};
    this.waiting = [...this.waiting, waiting];
    const withdraw = () => this.withdraw(waiting);
    const stop = this.options.timer.once(waitMilliseconds, withdraw);
    void abandoned.then(withdraw);
    this.dispatch();
    const outcome = await waiting.turn.promise;
    stop();
    return outcome;
  }

  private withdraw(waiting: Waiting<Connection>): void {
    if (!this.waiting.includes(waiting)) return;
    this.remove(waiting);
    waiting.turn.resolve(Left(refusal(this.expectedWaitMilliseconds)));
  }

  private dispatch(): void {
    while (this.running < this.slots && this.startNext()) continue;
    const needing = this.waiting.filter(({needsConnection}) => needsConnection);
    this.options.wanted(needing.length);
  }

  private startNext(): boolean {
    for (const waiting of this.inOrder()) {
      const {needsConnection, turn} = waiting;
      const connection = needsConnection ? this.options.take() : undefined;
      if (needsConnection && connection === undefined) continue;
      this.remove(waiting);
      this.running += 1;
      turn.resolve(Right(connection));
      return true;
    }
    return false;
  }

  private remove(waiting: Waiting<Connection>): void {
    this.waiting = this.waiting.filter(each => each !== waiting);
  }

  /** What waits, the next one first; of equals the older. */
  private inOrder(): ReadonlyArray<Waiting<Connection>> {
    if (this.waiting.length < 2) return this.waiting;
    const lateness = (each: Waiting<Connection>) =>
      this.isLate(each.lateAt) ? 1 : 0;
    return [...this.waiting].sort(
      (left, right) =>
        left.priority - right.priority || lateness(left) - lateness(right),
    );
  }

  /** How much that waits now would go before new work. */
  private ahead(priority: number, lateAt: number): number {
    const more = this.waiting.filter(each => each.priority < priority).length;
    const equals = this.waiting.filter(each => each.priority === priority);
    const inTime = equals.filter(each => !this.isLate(each.lateAt)).length;
    const wait = this.expectedWait(more + inTime);
    const late = this.isLate(lateAt - wait);
    return more + (late ? equals.length : inTime);
  }

  /** Whether work that starts now ends too late for its caller's objective. */
  private isLate(lateAt: number): boolean {
    return this.options.timer.now() + this.meanMilliseconds > lateAt;
  }

  private expectedWait(ahead: number): number {
    const busy = Math.max(0, this.running + ahead + 1 - this.slots);
    return (busy * this.meanMilliseconds) / Math.max(1, this.slots);
  }
}

function refusal(expectedWaitMilliseconds: number): QueueRefusal {
  return {
    expectedWaitMilliseconds: Math.max(
      MINIMUM_RETRY_MILLISECONDS,
      Math.ceil(expectedWaitMilliseconds),
    ),
  };
}
