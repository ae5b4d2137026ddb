import {ClusterView, findGroup, findMember} from '@apricotlock/topology';
import {changeGroup, ViewChange, withConfirmedLog} from './view_change.js';

/** Begins a term, unless the current term is not the expected one. */
export function beginTerm(
  view: ClusterView,
  database: string,
  expectedTerm: number,
  term: number,
): ViewChange {
  const group = findGroup(view, database);
  if (group === undefined) {
    return {kind: 'refused', reason: `no database "${database}"`};
  }
  if (group.term !== expectedTerm || term <= group.term) {
    return {kind: 'conflict'};
  }
  const formerPrimary = group.primary ?? group.formerPrimary;
  return changeGroup(view, {
    ...group,
    term,
    primary: undefined,
    ...(formerPrimary !== undefined && {formerPrimary}),
  });
}

/** Records the member that is about to be promoted. */
export function orderPromotion(
  view: ClusterView,
  database: string,
  term: number,
  member: string,
): ViewChange {
  const group = findGroup(view, database);
  if (group === undefined || findMember(group, member) === undefined) {
    return {kind: 'refused', reason: `no member "${member}" of "${database}"`};
  }
  if (group.term !== term || group.primary !== undefined) {
    return {kind: 'conflict'};
  }
  if (group.promoting === member) return {kind: 'unchanged'};
  return changeGroup(view, {...group, promoting: member});
}

/** The primary of a group in a term, and the holder of its lease. */
export interface PrimaryAssignment {
  readonly database: string;
  readonly term: number;
  readonly primary: string;
  readonly holder: string | undefined;
}

/** Sets the primary of a term, unless the term already has another one. */
export function setPrimary(
  view: ClusterView,
  {database, term, primary, holder}: PrimaryAssignment,
): ViewChange {
  const group = findGroup(view, database);
  if (group === undefined || findMember(group, primary) === undefined) {
    return {kind: 'refused', reason: `no member "${primary}" of "${database}"`};
  }
  if (group.term !== term) return {kind: 'conflict'};
  if (group.primary === primary) return {kind: 'unchanged'};
  // A term never has two primaries.
  if (group.primary !== undefined) return {kind: 'conflict'};
  const {
    holder: _previousHolder,
    promoting: _completedPromotion,
    formerPrimary: _replacedPrimary,
    ...rest
  } = group;
  const holderField = holder === undefined ? {} : {holder};
  // A promoted member holds all acknowledged commits, and removed members can't
  // receive those that follow.
  const members =
    group.promoting === primary
      ? group.members.map(withConfirmedLog)
      : group.members;
  return changeGroup(view, {...rest, ...holderField, members, primary});
}

/** Records that the logs of removed members are on a present replica. */
export function confirmRemovedLogs(
  view: ClusterView,
  database: string,
  term: number,
  names: readonly string[],
): ViewChange {
  const group = findGroup(view, database);
  if (group === undefined) {
    return {kind: 'refused', reason: `no database "${database}"`};
  }
  if (group.term !== term || group.primary === undefined) {
    return {kind: 'conflict'};
  }
  const members = group.members.map(member =>
    names.includes(member.name) ? withConfirmedLog(member) : member,
  );
  const isUnchanged = members.every(
    (member, index) => member === group.members[index],
  );
  if (isUnchanged) return {kind: 'unchanged'};
  return changeGroup(view, {...group, members});
}
