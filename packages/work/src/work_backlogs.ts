import {FairShares, shareClassOf} from './fair_shares.js';
import {
  ComparedQueuedWork,
  ComparedWork,
  countAhead,
  WorkAhead,
} from './work_ahead.js';

/** A mean interval between starts is known after this number of them. */
const MINIMUM_INTERVALS = 4;
/** The weight of the newest interval in the moving average. */
const INTERVAL_WEIGHT = 0.1;
/**
 * The least assumed share of late work in what an organisation starts. Without
 * it, late work would have no finite wait while newer work always precedes it.
 */
const MINIMUM_LATE_SHARE = 0.05;

/** What decides the order of queued work. */
export interface RankedWork extends ComparedQueuedWork {
  /** Work that has a connection is of an open transaction. */
  readonly needsConnection: boolean;
  /** The time since which it waits. */
  readonly since: number;
}

/** The queued work of one organisation, or all statements of transactions. */
export interface Backlog<Work> {
  readonly organisation: string | undefined;
  /** The amount of work that needs a connection. */
  readonly waiting: number;
  /** The time since which the oldest work waits. */
  readonly since: number;
  /** The work that is served first. */
  readonly next: Work;
  readonly isLate: boolean;
  /** The start tag of that work in {@link FairShares}. */
  readonly startTag: number;
}

type MutableBacklog<Work> = {
  -readonly [Key in keyof Backlog<Work>]: Backlog<Work>[Key];
} & {
  size: number;
  /** The number of the last ranking that visited it. */
  lastRanking: number;
  /** How much work has started since the backlog exists. */
  starts: number;
  lastStartAt: number;
  meanInterval: number;
  /** The share of late work in the work that was started. */
  lateShare: number;
};

/** The key of statements of open transactions, which form one backlog. */
const TRANSACTIONS = Symbol('transactions');

/**
 * Queued work in the order of arrival, grouped by organisation. A ranking takes
 * one pass over the work without allocation, because it is made for each
 * statement that ends, when hundreds may wait.
 */
export class WorkBacklogs<Work extends RankedWork> {
  private readonly backlogOf = new Map<Work, MutableBacklog<Work>>();
  private readonly byOrganisation = new Map<
    string | symbol | undefined,
    MutableBacklog<Work>
  >();
  private readonly shares = FairShares.create();
  private rankings = 0;

  private constructor() {}

  /** Creates an instance without work. */
  static create<Work extends RankedWork>(): WorkBacklogs<Work> {
    return new WorkBacklogs<Work>();
  }

  /** The amount of queued work. */
  get size(): number {
    return this.backlogOf.size;
  }

  /** Whether work of any organisation is queued. */
  get hasOrganisations(): boolean {
    for (const key of this.byOrganisation.keys()) {
      if (typeof key === 'string') return true;
    }
    return false;
  }

  /** Returns the queued work in the order of arrival. */
  works(): Iterable<Work> {
    return this.backlogOf.keys();
  }

  /** Adds work as the last arrival. */
  add(work: Work): void {
    const {organisation, needsConnection, since} = work;
    const key = keyOf(work);
    const known = this.byOrganisation.get(key);
    const backlog = known ?? {
      organisation,
      waiting: 0,
      since,
      next: work,
      isLate: false,
      startTag: 0,
      size: 0,
      lastRanking: 0,
      starts: 0,
      lastStartAt: 0,
      meanInterval: 0,
      lateShare: 1,
    };
    if (known === undefined) this.byOrganisation.set(key, backlog);
    this.backlogOf.set(work, backlog);
    backlog.size += 1;
    if (needsConnection) backlog.waiting += 1;
  }

  /** Removes work. Returns whether it was queued. */
  remove(work: Work): boolean {
    const backlog = this.backlogOf.get(work);
    if (backlog === undefined) return false;
    this.backlogOf.delete(work);
    backlog.size -= 1;
    if (work.needsConnection) backlog.waiting -= 1;
    if (backlog.size === 0) this.byOrganisation.delete(keyOf(work));
    return true;
  }

  /**
   * Returns the backlogs in the order of their first work: by priority, then
   * work whose answer is not due before `lateBefore`, then by fair shares, then
   * by age. The backlogs change with later calls.
   */
  rank(lateBefore: number): ReadonlyArray<Backlog<Work>> {
    const ranking = ++this.rankings;
    this.backlogOf.forEach((backlog, work) => {
      const isLate = work.lateAt < lateBefore;
      if (backlog.lastRanking !== ranking) {
        backlog.lastRanking = ranking;
        backlog.since = work.since;
      } else if (!precedes(work, isLate, backlog)) {
        return;
      }
      backlog.next = work;
      backlog.isLate = isLate;
    });
    const ranked = [...this.byOrganisation.values()];
    if (ranked.length < 2) return ranked;
    for (const backlog of ranked) {
      const {next, isLate, organisation} = backlog;
      const shareClass = shareClassOf(next.priority, isLate);
      backlog.startTag = this.shares.startTag(shareClass, organisation);
    }
    return ranked.sort(compareBacklogs);
  }

  /** Removes work that starts, and charges its organisation. */
  start(work: Work, isLate: boolean, now: number): void {
    const {priority, organisation, cost} = work;
    const backlog = this.backlogOf.get(work);
    if (backlog !== undefined) recordInterval(backlog, isLate, now);
    this.remove(work);
    const shareClass = shareClassOf(priority, isLate);
    this.shares.recordStart(shareClass, organisation, cost);
  }

  /** Returns how much of the work would precede new work. */
  countAhead(
    work: ComparedWork,
    lateBefore: number,
  ): ReturnType<typeof countAhead> {
    return countAhead(this.backlogOf.keys(), this.shares, work, lateBefore);
  }

  /**
   * Returns how long an organisation's own work takes that precedes new work,
   * at the rate at which its work has been started during its present backlog;
   * 0 if this is too recent.
   */
  ownWait(
    organisation: string | undefined,
    {ownOnTime, ownLate}: WorkAhead,
  ): number {
    const backlog = this.byOrganisation.get(organisation);
    if (backlog === undefined || backlog.starts <= MINIMUM_INTERVALS) return 0;
    const {meanInterval, lateShare} = backlog;
    const lateInterval = meanInterval / Math.max(MINIMUM_LATE_SHARE, lateShare);
    return ownOnTime * meanInterval + ownLate * lateInterval;
  }

  /** Charges an organisation for a statement of a transaction. */
  chargeTransaction({priority, organisation, cost}: ComparedWork): void {
    this.shares.charge(shareClassOf(priority, false), organisation, cost);
  }
}

function recordInterval(
  backlog: MutableBacklog<unknown>,
  isLate: boolean,
  now: number,
): void {
  const interval = now - backlog.lastStartAt;
  const {starts, meanInterval} = backlog;
  backlog.lastStartAt = now;
  backlog.starts += 1;
  backlog.lateShare += (Number(isLate) - backlog.lateShare) * INTERVAL_WEIGHT;
  if (starts === 0) return;
  const weight = Math.max(INTERVAL_WEIGHT, 1 / starts);
  backlog.meanInterval += (interval - meanInterval) * weight;
}

function keyOf({
  needsConnection,
  organisation,
}: RankedWork): string | symbol | undefined {
  return needsConnection ? organisation : TRANSACTIONS;
}

function precedes<Work extends RankedWork>(
  {priority}: Work,
  late: boolean,
  {next, isLate}: Backlog<Work>,
): boolean {
  if (priority !== next.priority) return priority < next.priority;
  return !late && isLate;
}

function compareBacklogs(
  left: Backlog<RankedWork>,
  right: Backlog<RankedWork>,
): number {
  return (
    left.next.priority - right.next.priority ||
    Number(left.isLate) - Number(right.isLate) ||
    left.startTag - right.startTag ||
    left.next.since - right.next.since
  );
}
