import {ClusterView, findGroup, findMember} from '@apricotlock/topology';
import {Change, changedGroup} from './view_change.js';

/** Opens a term, if none was opened since the one that is expected. */
export function beginTerm(
  view: ClusterView,
  database: string,
  expectedTerm: number,
  term: number,
): Change {
  const group = findGroup(view, database);
  if (group === undefined) {
    return {kind: 'refused', reason: `no database "${database}"`};
  }
  if (group.term !== expectedTerm || term <= group.term) {
    return {kind: 'conflict'};
  }
  return changedGroup(view, {...group, term, primary: undefined});
}

/** Notes whose promotion is about to be ordered. */
export function orderPromotion(
  view: ClusterView,
  database: string,
  term: number,
  member: string,
): Change {
  const group = findGroup(view, database);
  if (group === undefined || findMember(group, member) === undefined) {
    return {kind: 'refused', reason: `no member "${member}" of "${database}"`};
  }
  if (group.term !== term || group.primary !== undefined) {
    return {kind: 'conflict'};
  }
  if (group.promoting === member) return {kind: 'unchanged'};
  return changedGroup(view, {...group, promoting: member});
}

/** Who leads a group in a term, and who may use it. */
export interface Appointment {
  readonly database: string;
  readonly term: number;
  readonly primary: string;
  readonly holder: string | undefined;
}

/** Names the primary of a term, which has only one. */
export function setPrimary(
  view: ClusterView,
  {database, term, primary, holder}: Appointment,
): Change {
  const group = findGroup(view, database);
  if (group === undefined || findMember(group, primary) === undefined) {
    return {kind: 'refused', reason: `no member "${primary}" of "${database}"`};
  }
  if (group.term !== term) return {kind: 'conflict'};
  if (group.primary === primary) return {kind: 'unchanged'};
  // A term never has two primaries.
  if (group.primary !== undefined) return {kind: 'conflict'};
  const {holder: _former, promoting: _done, ...rest} = group;
  const held = holder === undefined ? {} : {holder};
  return changedGroup(view, {...rest, ...held, primary});
}
