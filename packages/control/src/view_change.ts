import {ClusterView, DatabaseGroup, Member} from '@apricotlock/topology';

/** What a command does to the view. */
export type Change =
  | {readonly kind: 'changed'; readonly view: ClusterView}
  /** All is as the command wants it already. */
  | {readonly kind: 'unchanged'}
  | {readonly kind: 'conflict'}
  | {readonly kind: 'refused'; readonly reason: string};

/** The view with one member of a group changed. */
export function changedMember(
  view: ClusterView,
  group: DatabaseGroup,
  member: Member,
): Change {
  const members = group.members.map(other =>
    other.name === member.name ? member : other,
  );
  return changedGroup(view, {...group, members});
}

/** The view with one group changed. */
export function changedGroup(view: ClusterView, group: DatabaseGroup): Change {
  const groups = view.groups.map(other =>
    other.database === group.database ? group : other,
  );
  return {kind: 'changed', view: {...view, groups}};
}
