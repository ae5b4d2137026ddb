/** The maximum number of connections that are opened at the same time. */
export const MAXIMUM_CONCURRENT_OPENS = 2;
/**
 * The maximum number that are opened at the same time for one organisation, so
 * that the backlog of one does not delay the first connection of another.
 */
const MAXIMUM_ORGANISATION_OPENS = 1;
/**
 * After this wait, an organisation without a connection gets one that another
 * organisation would use for its next statement. An opening costs about 12 ms
 * of a slot, so that organisations which take turns spend about a tenth on it.
 */
const TURN_MILLISECONDS = 100;

/** The work of one organisation that waits for connections. */
export interface ConnectionDemand {
  /** The organisation's name; `undefined` for work without one. */
  readonly organisation: string | undefined;
  /** The number of statements and transactions that wait for a connection. */
  readonly waiting: number;
  /** The time since which the oldest of them waits, in milliseconds. */
  readonly since: number;
}

/** The state of a connection that matters to the choice. */
export interface PooledConnection {
  /**
   * The only organisation that may use it; `undefined` for work without one.
   */
  readonly organisation: string | undefined;
  /** When the current work began on it; meaningless while it is idle. */
  readonly checkedOutAt: number;
  /** Whether the current work is a transaction, which may last long. */
  readonly isInTransaction: boolean;
}

/** The state of a pool when it decides whether to open a connection. */
export interface PoolFacts<Connection extends PooledConnection> {
  /** The idle connections, least recently used first. */
  readonly idle: readonly Connection[];
  readonly checkedOut: Iterable<Connection>;
  /** The organisation of each connection that is being opened. */
  readonly opening: ReadonlyArray<string | undefined>;
  /** The waiting work, in the order in which it will be served. */
  readonly demands: readonly ConnectionDemand[];
  readonly maximum: number;
  /** The number of statements that the member runs at once. */
  readonly slots: number;
  /** The mean duration of a statement. */
  readonly meanMilliseconds: number;
  readonly now: number;
}

/** Whether to open a connection, and for which organisation. */
export type OpeningChoice<Connection> =
  | {
      readonly kind: 'open';
      readonly organisation: string | undefined;
      /** The idle connection of another organisation to close first. */
      readonly replaced: Connection | undefined;
    }
  | {
      readonly kind: 'wait';
      /** When to choose again if nothing changes before. */
      readonly until: number | undefined;
      /** Whether an organisation needs a connection that cannot be opened. */
      readonly isBlocked: boolean;
    };

/** The connections of one organisation, by state. */
interface ConnectionCounts {
  total: number;
  idle: number;
  opening: number;
  /** Those that run a statement outside of a transaction. */
  running: number;
  /**
   * Those of the running ones that are expected back soon: their statement has
   * run for less than the mean duration.
   */
  expectedBack: number;
  /** When the first of these will have run for the mean duration. */
  overdueAt: number;
}

const NO_CONNECTIONS: ConnectionCounts = {
  total: 0,
  idle: 0,
  opening: 0,
  running: 0,
  expectedBack: 0,
  overdueAt: Infinity,
};

/**
 * Returns the index of the connection that an organisation uses next: its own
 * most recently used one. Returns -1 if none of its connections is idle.
 */
export function chooseIdle(
  idle: ReadonlyArray<Pick<PooledConnection, 'organisation'>>,
  organisation: string | undefined,
): number {
  return idle.findLastIndex(each => each.organisation === organisation);
}

/**
 * Chooses the next connection to open for the first organisation that needs
 * one. An organisation needs one if more of its work waits than it has
 * connections that are idle, being opened, or expected to be returned within
 * the mean duration of a statement: such a connection serves the work as soon
 * as a new one, without the slot time that an opening costs. An organisation
 * does not need more connections outside transactions than the member has
 * slots.
 */
export function chooseOpening<Connection extends PooledConnection>(
  facts: PoolFacts<Connection>,
): OpeningChoice<Connection> {
  let until: number | undefined;
  if (facts.opening.length >= MAXIMUM_CONCURRENT_OPENS) {
    return {kind: 'wait', until, isBlocked: false};
  }
  const counts = countConnections(facts);
  const isFull = totalOf(counts) >= facts.maximum;
  let isBlocked = false;
  let replaceable: readonly Connection[] | undefined;
  for (const {organisation, waiting} of facts.demands) {
    const own = counts.get(organisation) ?? NO_CONNECTIONS;
    const {idle, opening, running, expectedBack, overdueAt} = own;
    if (opening >= MAXIMUM_ORGANISATION_OPENS) continue;
    if (waiting <= idle + opening) continue;
    if (idle + opening + running >= facts.slots) continue;
    if (waiting <= idle + opening + expectedBack) {
      until = Math.min(until ?? Infinity, overdueAt);
      continue;
    }
    if (!isFull) return {kind: 'open', organisation, replaced: undefined};
    isBlocked = true;
    replaceable ??= replaceableConnections(facts, counts);
    if (replaceable.length === 0) break;
    const replaced = replaceable.find(
      each => each.organisation !== organisation,
    );
    if (replaced !== undefined) return {kind: 'open', organisation, replaced};
  }
  return {kind: 'wait', until, isBlocked};
}

/**
 * Returns whether a connection that is being returned to a full pool is to be
 * closed, although its organisation has more work, because work that is to be
 * served before waits for the first connection of its organisation. `facts` are
 * those without the returned connection.
 */
export function mustYield<Connection extends PooledConnection>(
  facts: PoolFacts<Connection>,
  {organisation}: Connection,
): boolean {
  if (facts.opening.length > 0) return false;
  const counts = countConnections(facts);
  if (totalOf(counts) + 1 < facts.maximum) return false;
  for (const demand of facts.demands) {
    if (demand.organisation === organisation) return false;
    const other = counts.get(demand.organisation) ?? NO_CONNECTIONS;
    const hasNone = other.idle + other.opening + other.running === 0;
    if (hasNone && facts.now - demand.since >= TURN_MILLISECONDS) {
      return (
        facts.demands.some(each => each.organisation === organisation) &&
        replaceableConnections(facts, counts).length === 0
      );
    }
  }
  return false;
}

/**
 * Returns the idle connections that may be closed for other organisations,
 * least recently used first. A connection that waiting work of its own
 * organisation will use is not among them.
 */
function replaceableConnections<Connection extends PooledConnection>(
  {idle, demands}: PoolFacts<Connection>,
  counts: ReadonlyMap<string | undefined, ConnectionCounts>,
): readonly Connection[] {
  const waiting = new Map(
    demands.map(each => [each.organisation, each.waiting]),
  );
  return idle.filter(({organisation}) => {
    const idleCount = counts.get(organisation)?.idle ?? 0;
    return idleCount > (waiting.get(organisation) ?? 0);
  });
}

function totalOf(
  counts: ReadonlyMap<string | undefined, ConnectionCounts>,
): number {
  let sum = 0;
  for (const {total} of counts.values()) sum += total;
  return sum;
}

/** Returns the counts of each organisation that has connections. */
function countConnections({
  idle,
  checkedOut,
  opening,
  meanMilliseconds,
  now,
}: PoolFacts<PooledConnection>): ReadonlyMap<
  string | undefined,
  ConnectionCounts
> {
  const counts = new Map<string | undefined, ConnectionCounts>();
  const countsOf = (organisation: string | undefined) => {
    const known = counts.get(organisation);
    if (known !== undefined) return known;
    const created = {...NO_CONNECTIONS};
    counts.set(organisation, created);
    return created;
  };
  for (const {organisation} of idle) {
    const own = countsOf(organisation);
    own.total += 1;
    own.idle += 1;
  }
  for (const organisation of opening) {
    const own = countsOf(organisation);
    own.total += 1;
    own.opening += 1;
  }
  for (const connection of checkedOut) {
    const own = countsOf(connection.organisation);
    own.total += 1;
    if (connection.isInTransaction) continue;
    own.running += 1;
    const overdueAt = connection.checkedOutAt + meanMilliseconds;
    if (overdueAt <= now) continue;
    own.expectedBack += 1;
    own.overdueAt = Math.min(own.overdueAt, overdueAt);
  }
  return counts;
}
