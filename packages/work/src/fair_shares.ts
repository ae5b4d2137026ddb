/** The number of organisations from which on settled tags are removed. */
const MINIMUM_PRUNED_SIZE = 64;

/** The tags of the organisations whose work competes in one class. */
interface ShareClass {
  /** The largest start tag of started work. */
  virtualTime: number;
  /**
   * The start tag of an organisation's next work; at least the virtual time.
   */
  readonly nextTags: Map<string | undefined, number>;
  pruneAt: number;
}

/**
 * Start-time fair queueing over organisations: work starts in the order of
 * start tags, and each start raises the next tag of its organisation by a cost,
 * which is inversely proportional to the organisation's weight. An organisation
 * that had no work continues at the virtual time: it has no claim to what it
 * did not use. Work of different classes, which are served one after the other,
 * is counted apart; otherwise work of one class would raise the virtual time of
 * another, and an organisation with a backlog there would seem to be owed work.
 */
export class FairShares {
  private readonly classes = new Map<number, ShareClass>();

  private constructor() {}

  /** Creates an instance in which all organisations are equal. */
  static create(): FairShares {
    return new FairShares();
  }

  /** Returns the start tag of the next work of an organisation. */
  startTag(shareClass: number, organisation: string | undefined): number {
    const known = this.classes.get(shareClass);
    if (known === undefined) return 0;
    const {virtualTime, nextTags} = known;
    return Math.max(virtualTime, nextTags.get(organisation) ?? 0);
  }

  /** Records that work of an organisation starts in its order. */
  recordStart(
    shareClass: number,
    organisation: string | undefined,
    cost: number,
  ): void {
    const start = this.startTag(shareClass, organisation);
    this.charge(shareClass, organisation, cost);
    this.classOf(shareClass).virtualTime = start;
  }

  /**
   * Records the cost of work that started outside of the order, which does not
   * change the virtual time.
   */
  charge(
    shareClass: number,
    organisation: string | undefined,
    cost: number,
  ): void {
    const known = this.classOf(shareClass);
    const start = this.startTag(shareClass, organisation);
    known.nextTags.set(organisation, start + cost);
    if (known.nextTags.size >= known.pruneAt) prune(known);
  }

  private classOf(shareClass: number): ShareClass {
    const known = this.classes.get(shareClass);
    if (known !== undefined) return known;
    const created = {
      virtualTime: 0,
      nextTags: new Map<string | undefined, number>(),
      pruneAt: MINIMUM_PRUNED_SIZE,
    };
    this.classes.set(shareClass, created);
    return created;
  }
}

/**
 * Returns a number for the class of work that competes for fair shares: one
 * class for each priority and, apart from it, for late work of that priority.
 * The number says nothing about the order, and is negative for open
 * transactions.
 */
export function shareClassOf(priority: number, isLate: boolean): number {
  return 2 * priority + Number(isLate);
}

/** Returns the cost of one statement of an organisation, given its priority. */
export function fairCost(organisationPriority: number | undefined): number {
  return 1 + (organisationPriority ?? 0);
}

function prune(shareClass: ShareClass): void {
  const {nextTags, virtualTime} = shareClass;
  for (const [organisation, tag] of nextTags) {
    if (tag <= virtualTime) nextTags.delete(organisation);
  }
  shareClass.pruneAt = Math.max(MINIMUM_PRUNED_SIZE, 2 * nextTags.size);
}
