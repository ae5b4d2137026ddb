// The rules of RULES.md, "Statements", on what clients and members saw.

const STALENESS_MS = {
  primary: 0,
  bounded_staleness: 1_500,
  read_your_writes: 2_500,
};

/** Returns what broke each rule, by the name of the rule. */
export function check(group, {attempts, statements}) {
  const acknowledged = attempts.filter(
    ({outcome, writes, commitIds}) =>
      outcome === 'acknowledged' && writes && commitIds.length > 0,
  );
  const acknowledgedAt = new Map(
    acknowledged.map(({commitIds, answeredAt}) => [commitIds[0], answeredAt]),
  );
  const commits = new Map(group.commits.map(each => [each.id, each]));
  const final = group.leader?.log ?? [];
  return {
    'LOST (promoted)': lostByPromotion(group, acknowledgedAt),
    'LOST (final)': missing(final, acknowledgedAt),
    ONE: [...commits.values()].filter(
      ({id, stale}) => stale && acknowledgedAt.has(id),
    ),
    TWICE: final.filter(
      ({id}, index) => final.findIndex(each => each.id === id) !== index,
    ),
    REFUSED: attempts.filter(
      ({outcome, commitIds}) =>
        outcome === 'promised' &&
        commitIds.some(id => final.some(each => each.id === id)),
    ),
    ...checkRuns(group, statements, acknowledgedAt),
  };
}

function lostByPromotion({promotions}, acknowledgedAt) {
  return promotions.flatMap(({at, id: member, log}) => {
    const held = new Set(log.map(({id}) => id));
    return [...acknowledgedAt]
      .filter(([id, answeredAt]) => answeredAt < at && !held.has(id))
      .map(([id, answeredAt]) => ({id, answeredAt, at, member}));
  });
}

function missing(log, acknowledgedAt) {
  const held = new Set(log.map(({id}) => id));
  return [...acknowledgedAt.keys()].filter(id => !held.has(id));
}

/** Checks what members ran: UNASKED, PINNED and STALE. */
function checkRuns(group, statements, acknowledgedAt) {
  const byId = new Map(statements.map(each => [each.id, each]));
  const freshness = new Freshness(group, acknowledgedAt);
  const ownFreshness = new Map();
  for (const {id, session} of statements) {
    if (!acknowledgedAt.has(id)) continue;
    const own = ownFreshness.get(session) ?? new Map();
    ownFreshness.set(session, own.set(id, acknowledgedAt.get(id)));
  }
  for (const [session, own] of ownFreshness) {
    ownFreshness.set(session, new Freshness(group, own));
  }
  const found = {UNASKED: [], PINNED: [], STALE: []};
  for (const run of group.runs) {
    const statement = byId.get(run.id);
    if (statement === undefined) continue;
    if (run.shape === undefined && run.text !== statement.text) {
      found.UNASKED.push({run: brief(run), statement});
    }
    if (run.values !== `v=${statement.value}`) {
      found.PINNED.push({run: brief(run), statement});
    }
    if (run.access !== 'READ') continue;
    const {kind, session} = statement;
    const from = statement.transactionAt ?? statement.sentAt;
    const isStale =
      freshness.lacks(run, from - STALENESS_MS[kind]) ||
      (kind === 'read_your_writes' &&
        ownFreshness.get(session)?.lacks(run, from));
    if (isStale) found.STALE.push({run: brief(run), kind, from});
  }
  return found;
}

/** Finds out whether the log of a read lacked an acknowledged commit. */
class Freshness {
  constructor(group, acknowledgedAt) {
    // Commits that a promotion rolled back don't count.
    const kept = new Set((group.leader?.log ?? []).map(({id}) => id));
    this.acknowledged = [...acknowledgedAt]
      .filter(([id]) => kept.has(id))
      .sort(([, left], [, right]) => left - right);
    this.lengths = new Map();
  }

  /** Whether a read saw less than what was acknowledged before `moment`. */
  lacks({log, visible}, moment) {
    const count = this.acknowledged.findLastIndex(([, at]) => at < moment);
    return count >= 0 && this.neededLengths(log)[count] > visible;
  }

  /** How long a log must be to hold the first commits acknowledged. */
  neededLengths(log) {
    const known = this.lengths.get(log);
    if (known !== undefined) return known;
    const indexes = new Map(log.map(({id}, index) => [id, index]));
    let longest = 0;
    const lengths = this.acknowledged.map(([id]) => {
      longest = Math.max(longest, 1 + (indexes.get(id) ?? Infinity));
      return longest;
    });
    this.lengths.set(log, lengths);
    return lengths;
  }
}

function brief({at, id, text, member, values, state, visible}) {
  return {at, id, text, member, values, state, visible};
}

/** Returns the names of the rules that were broken. */
export function broken(result) {
  return Object.entries(result)
    .filter(([, cases]) => cases.length > 0)
    .map(([rule, cases]) => `${rule}: ${cases.length}`);
}
