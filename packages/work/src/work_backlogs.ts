/** What decides the order of queued work. */
export interface RankedWork {
  /** Smaller numbers are served first. */
  readonly priority: number;
  /** Work that has a connection is of an open transaction. */
  readonly needsConnection: boolean;
  readonly organisation: string | undefined;
  /** The time at which its answer becomes late. */
  readonly lateAt: number;
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
}

type MutableBacklog<Work> = {
  -readonly [Key in keyof Backlog<Work>]: Backlog<Work>[Key];
} & {size: number; lastRanking: number};

/** The key of statements of transactions, whose order has no organisations. */
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
      size: 0,
      lastRanking: 0,
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
   * work whose answer is not due before `lateBefore`, then by age. The backlogs
   * change with later calls.
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
    return [...this.byOrganisation.values()].sort(compareBacklogs);
  }
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
    left.next.since - right.next.since
  );
}
