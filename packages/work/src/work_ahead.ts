import {FairShares, shareClassOf} from './fair_shares.js';

/** What decides whether other work precedes it. */
export interface ComparedWork {
  /** Smaller numbers are served first. */
  readonly priority: number;
  readonly organisation: string | undefined;
  /** What its start costs its organisation in {@link FairShares}. */
  readonly cost: number;
}

/** Queued work that may precede new work. */
export interface ComparedQueuedWork extends ComparedWork {
  /** The time at which its answer becomes late. */
  readonly lateAt: number;
}

/** How much queued work precedes new work. */
export interface WorkAhead {
  readonly total: number;
  /** The part that is work of the same organisation which is not late. */
  readonly ownOnTime: number;
  /** The part that is late work of the same organisation. */
  readonly ownLate: number;
}

/** The work of one organisation that competes by fair shares. */
interface ClassBacklog {
  count: number;
  readonly cost: number;
}

type ClassBacklogs = Map<string | undefined, ClassBacklog>;

/**
 * Returns how much queued work would precede new work, if this is on time and
 * if it is late. Of the work of another organisation in the same class, as much
 * is counted as its fair share lets start before the organisation of the new
 * work has started its own.
 */
export function countAhead(
  queued: Iterable<ComparedQueuedWork>,
  shares: FairShares,
  work: ComparedWork,
  lateBefore: number,
): {readonly ifOnTime: WorkAhead; readonly ifLate: WorkAhead} {
  const {priority, organisation} = work;
  const onTime: ClassBacklogs = new Map();
  const late: ClassBacklogs = new Map();
  let higher = 0;
  let ownHigher = 0;
  for (const each of queued) {
    if (each.priority > priority) continue;
    if (each.priority < priority) {
      higher += 1;
      if (each.organisation === organisation) ownHigher += 1;
      continue;
    }
    const backlogs = each.lateAt < lateBefore ? late : onTime;
    const known = backlogs.get(each.organisation);
    if (known !== undefined) known.count += 1;
    else backlogs.set(each.organisation, {count: 1, cost: each.cost});
  }
  const ownOnTime = onTime.get(organisation)?.count ?? 0;
  const ownLate = late.get(organisation)?.count ?? 0;
  const onTimeClass = shareClassOf(priority, false);
  const ifOnTime = {
    total: higher + countFairly(onTime, shares, work, onTimeClass),
    ownOnTime: ownHigher + ownOnTime,
    ownLate: 0,
  };
  const lateClass = shareClassOf(priority, true);
  const ifLate = {
    total: ifOnTime.total + countFairly(late, shares, work, lateClass),
    ownOnTime: ifOnTime.ownOnTime,
    ownLate,
  };
  return {ifOnTime, ifLate};
}

function countFairly(
  backlogs: ClassBacklogs,
  shares: FairShares,
  {organisation, cost}: ComparedWork,
  shareClass: number,
): number {
  if (backlogs.size === 0) return 0;
  const own = backlogs.get(organisation)?.count ?? 0;
  const startTag = shares.startTag(shareClass, organisation) + own * cost;
  let count = own;
  for (const [name, other] of backlogs) {
    if (name === organisation) continue;
    const lead = startTag - shares.startTag(shareClass, name);
    if (lead < 0) continue;
    count += Math.min(other.count, Math.floor(lead / other.cost) + 1);
  }
  return count;
}
