import {ClusterView, findMember, Member} from '@apricotlock/topology';

/** A member that is new in a view, or whose state differs from a view before. */
export interface MemberTransition {
  readonly member: Member;
  /** The state before; `undefined` if the member was not known. */
  readonly formerState: Member['state'] | undefined;
}

/**
 * Returns the members that are new, were restarted, or changed their state
 * between two views. Unchanged groups are the same objects in both.
 */
export function memberTransitions(
  before: ClusterView,
  after: ClusterView,
): readonly MemberTransition[] {
  const known = new Map(before.groups.map(group => [group.database, group]));
  return after.groups.flatMap(group => {
    const formerGroup = known.get(group.database);
    if (formerGroup === group) return [];
    return group.members
      .map(member => ({
        member,
        former: formerGroup && findMember(formerGroup, member.name),
      }))
      .filter(
        ({member, former}) =>
          former?.state !== member.state ||
          former.incarnation !== member.incarnation,
      )
      .map(({member, former}) => ({member, formerState: former?.state}));
  });
}
