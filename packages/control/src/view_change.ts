import {ClusterView, DatabaseGroup, Member} from '@apricotlock/topology';

/** The effect of a command on the view. */
export type ViewChange =
  | {readonly kind: 'changed'; readonly view: ClusterView}
  /** The view already is as the command requests, or knows something newer. */
  | {readonly kind: 'unchanged'}
  | {readonly kind: 'conflict'}
  | {readonly kind: 'refused'; readonly reason: string};

/** Returns the change that replaces one member of a group. */
export function changeMember(
  view: ClusterView,
  group: DatabaseGroup,
  member: Member,
): ViewChange {
  const members = group.members.map(other =>
    other.name === member.name ? member : other,
  );
  return changeGroup(view, {...group, members});
}

/** Returns a member whose log is known to be on other replicas. */
export function withConfirmedLog(member: Member): Member {
  if (member.hasUnconfirmedLog !== true) return member;
  const {hasUnconfirmedLog: _confirmed, ...rest} = member;
  return rest;
}

/** Returns the change that replaces one group. */
export function changeGroup(
  view: ClusterView,
  group: DatabaseGroup,
): ViewChange {
  const groups = view.groups.map(other =>
    other.database === group.database ? group : other,
  );
  return {kind: 'changed', view: {...view, groups}};
}
