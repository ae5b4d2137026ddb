import {comparePositions} from '@apricotlock/statement';
import {
  ClusterView,
  DatabaseGroup,
  Member,
  possibleLogHolders,
  votingMembers,
} from '@apricotlock/topology';
import {MemberWithReport} from './member_admin_client.js';

/** A commit is acknowledged once the primary and one replica hold it. */
const COPIES_PER_COMMIT = 2;

/**
 * Returns how many members must be fenced before one of them may be promoted.
 * Each acknowledged commit is on at least two members, so any set of all
 * members but one contains every such commit. A removed member counts until its
 * log is known to be on another replica, because the primary may be the only
 * other holder of a commit. A single fenced member is never enough, because the
 * known list of members may be incomplete.
 */
export function requiredFencedCount(group: DatabaseGroup): number {
  const holders = possibleLogHolders(group).length;
  return Math.max(COPIES_PER_COMMIT, holders - 1);
}

/**
 * Returns the member that acts as the primary, unless another member reports a
 * later term.
 */
export function findPrimary(
  reported: readonly MemberWithReport[],
): MemberWithReport | undefined {
  const highest = highestTerm(reported);
  return reported.find(
    ({report}) => report.role === 'primary' && report.term >= highest,
  );
}

/** Returns the latest term in any of the reports. */
export function highestTerm(reported: readonly MemberWithReport[]): number {
  return Math.max(
    0,
    ...reported.map(({report}) => Math.max(report.term, report.fencedTerm)),
  );
}

/**
 * Returns the member with the longest log. Among equals, an active member is
 * preferred to a draining one, and then the first name in alphabetical order,
 * so that every failover makes the same choice.
 */
export function longestLog(
  reported: readonly MemberWithReport[],
): MemberWithReport | undefined {
  return [...reported].sort(compareSuccessors)[0];
}

/** Returns the members that can be queried for the state of a group. */
export function presentMembers(group: DatabaseGroup): readonly Member[] {
  return votingMembers(group);
}

/**
 * Returns whether commits of the group wait for a replica. If so, fencing all
 * members but one keeps the old primary from acknowledging further commits,
 * even before its lease has run out.
 */
export function isSynchronous(
  {catalogue}: ClusterView,
  {database}: DatabaseGroup,
): boolean {
  const entries = catalogue.entries.filter(
    entry => entry.database === database,
  );
  const requiredReplicas = entries.map(
    ({terms}) => terms?.synchronousReplicas ?? 0,
  );
  return (
    requiredReplicas.length > 0 &&
    Math.min(...requiredReplicas) >= COPIES_PER_COMMIT - 1
  );
}

/** Returns whether no member has received anything between two reports. */
export function haveNotAdvanced(
  before: readonly MemberWithReport[],
  after: readonly MemberWithReport[],
): boolean {
  return after.every(({member, report}) => {
    const earlier = before.find(known => known.member.name === member.name);
    if (earlier === undefined) return true;
    return comparePositions(earlier.report.received, report.received) >= 0;
  });
}

function compareSuccessors(
  left: MemberWithReport,
  right: MemberWithReport,
): number {
  const lengthOrder = comparePositions(
    right.report.received,
    left.report.received,
  );
  if (lengthOrder !== 0) return lengthOrder;
  const stateOrder = successorRank(left) - successorRank(right);
  if (stateOrder !== 0) return stateOrder;
  return left.member.name < right.member.name ? -1 : 1;
}

function successorRank({member}: MemberWithReport): number {
  return member.state === 'active' ? 0 : 1;
}
