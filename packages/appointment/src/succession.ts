import {comparePositions} from '@apricotlock/statement';
import {
  ClusterView,
  DatabaseGroup,
  Member,
  votingMembers,
} from '@apricotlock/topology';
import {KnownMember} from './member_panel.js';

/** A commit is acknowledged once its primary and one replica hold it. */
const COPIES_OF_A_COMMIT = 2;

/**
 * How many members have to be fenced before one of them may be promoted. Each
 * acknowledged commit is on two members at least, so that all members but one
 * hold every such commit between them. One copy alone is never enough: which
 * members there are may not be known in full.
 */
export function fencedNeeded(group: DatabaseGroup): number {
  const members = votingMembers(group).length;
  return Math.max(COPIES_OF_A_COMMIT, members - 1);
}

/** The member that leads, if one that answered does. */
export function leaderAmong(
  known: readonly KnownMember[],
): KnownMember | undefined {
  const highest = highestTerm(known);
  return known.find(
    ({report}) => report.role === 'primary' && report.term >= highest,
  );
}

/** The latest term that any member knows of. */
export function highestTerm(known: readonly KnownMember[]): number {
  return Math.max(
    0,
    ...known.map(({report}) => Math.max(report.term, report.fencedTerm)),
  );
}

/**
 * The member with the longest log of the latest term; of equals one that
 * stays, and then the first by name, so that every round chooses alike.
 */
export function longestLog(
  known: readonly KnownMember[],
): KnownMember | undefined {
  return [...known].sort(compareSuccessors)[0];
}

/** Members that may be asked about a group's state. */
export function presentMembers(group: DatabaseGroup): readonly Member[] {
  return votingMembers(group);
}

/**
 * Whether a commit of the group waits for a replica. Then fencing all members
 * but one keeps the old primary from acknowledging anything more, before the
 * lease of whoever uses it has run out.
 */
export function isSynchronous(
  {catalogue}: ClusterView,
  {database}: DatabaseGroup,
): boolean {
  const entries = catalogue.entries.filter(
    entry => entry.database === database,
  );
  const least = entries.map(({terms}) => terms?.synchronousReplicas ?? 0);
  return least.length > 0 && Math.min(...least) >= COPIES_OF_A_COMMIT - 1;
}

/** Whether no member has received anything between two reports. */
export function haveStoodStill(
  before: readonly KnownMember[],
  after: readonly KnownMember[],
): boolean {
  return after.every(({member, report}) => {
    const earlier = before.find(known => known.member.name === member.name);
    if (earlier === undefined) return true;
    return comparePositions(earlier.report.received, report.received) >= 0;
  });
}

function compareSuccessors(left: KnownMember, right: KnownMember): number {
  const longer = comparePositions(right.report.received, left.report.received);
  if (longer !== 0) return longer;
  const stays = rank(left) - rank(right);
  if (stays !== 0) return stays;
  return left.member.name < right.member.name ? -1 : 1;
}

function rank({member}: KnownMember): number {
  return member.state === 'active' ? 0 : 1;
}
