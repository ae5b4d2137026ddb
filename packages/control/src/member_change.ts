import {
  Address,
  ClusterView,
  findGroup,
  findMember,
  Member,
} from '@apricotlock/topology';
import {MemberReport} from './control_command.js';
import {
  changeGroup,
  changeMember,
  ViewChange,
  withConfirmedLog,
} from './view_change.js';

/**
 * Removed members retained per group, so that a late report of a removed member
 * does not add it again.
 */
const MAXIMUM_REMOVED_MEMBERS = 32;

/**
 * Adds a member, or updates it from an announcement with a higher incarnation.
 */
export function registerMember(view: ClusterView, member: Member): ViewChange {
  const group = findGroup(view, member.database);
  if (group === undefined) {
    return {kind: 'refused', reason: 'no catalogue entry names the database'};
  }
  const elsewhere = view.groups.some(
    other => other !== group && findMember(other, member.name) !== undefined,
  );
  if (elsewhere) {
    return {kind: 'refused', reason: 'the name belongs to another database'};
  }
  const known = findMember(group, member.name);
  if (known === undefined) {
    return changeGroup(view, {...group, members: [...group.members, member]});
  }
  // A late or repeated announcement must not restore an old address.
  if (member.incarnation <= known.incarnation) return {kind: 'unchanged'};
  return changeMember(view, group, {...member, state: known.state});
}

/**
 * Applies a member's report on itself, unless a newer one is known. Reports are
 * ordered by incarnation, and by sequence number within an incarnation. An
 * address belongs to the most recently started incarnation: another member that
 * had the same address before is removed.
 */
export function applyMemberReport(
  view: ClusterView,
  report: MemberReport,
): ViewChange {
  const group = findGroup(view, report.database);
  if (group === undefined) {
    return {kind: 'refused', reason: 'no catalogue entry names the database'};
  }
  const known = findMember(group, report.name);
  const member = toMember(report, known);
  if (known !== undefined && !isNewerReport(report, known)) {
    return {kind: 'unchanged'};
  }
  const sameAddressMembers = group.members.filter(
    other =>
      other.name !== member.name &&
      other.state !== 'removed' &&
      isSameAddress(other.address, member.address),
  );
  if (
    sameAddressMembers.some(other => other.incarnation > member.incarnation)
  ) {
    return {kind: 'unchanged'};
  }
  const others = group.members
    .filter(({name}) => name !== member.name)
    .map(other =>
      sameAddressMembers.includes(other) ? asRemoved(other) : other,
    )
    .map(other =>
      isReplacedBy(other, member) ? withConfirmedLog(other) : other,
    );
  return changeGroup(view, {
    ...group,
    members: dropOldestRemoved(member, others),
  });
}

/**
 * Returns the member that a report describes. The log of a member that leaves
 * is unconfirmed at first: a commit may be on it and on the primary only.
 */
function toMember(report: MemberReport, known: Member | undefined): Member {
  const member: Member = {...report, apiAddress: report.address};
  if (member.state !== 'removed' || known === undefined) return member;
  const hasUnconfirmedLog =
    known.state === 'removed' ? known.hasUnconfirmedLog : true;
  return hasUnconfirmedLog === true ? {...member, hasUnconfirmedLog} : member;
}

/**
 * Returns whether a member received the log of a removed one at its address.
 */
function isReplacedBy(removed: Member, member: Member): boolean {
  return (
    removed.state === 'removed' &&
    member.state !== 'removed' &&
    isSameAddress(removed.address, member.address)
  );
}

function isNewerReport(report: MemberReport, known: Member): boolean {
  if (report.incarnation !== known.incarnation) {
    return report.incarnation > known.incarnation;
  }
  return report.reportSequence > (known.reportSequence ?? -1);
}

function isSameAddress(left: Address, right: Address): boolean {
  return left.host === right.host && left.port === right.port;
}

function asRemoved(member: Member): Member {
  return {...member, state: 'removed'};
}

/**
 * Returns the group's members, with only the most recent of the removed ones.
 */
function dropOldestRemoved(
  member: Member,
  others: readonly Member[],
): readonly Member[] {
  const all = [...others, member];
  const removedMembers = all
    .filter(({state}) => state === 'removed')
    .sort((left, right) => right.incarnation - left.incarnation);
  const dropped = new Set(removedMembers.slice(MAXIMUM_REMOVED_MEMBERS));
  return all.filter(each => !dropped.has(each));
}

/**
 * Sets a member to active, draining (no new work) or removed. Refuses to remove
 * the primary.
 */
export function setMemberState(
  view: ClusterView,
  name: string,
  state: Member['state'],
): ViewChange {
  const group = view.groups.find(
    candidate => findMember(candidate, name) !== undefined,
  );
  const member = group && findMember(group, name);
  if (group === undefined || member === undefined) {
    return {kind: 'refused', reason: `no backend server "${name}"`};
  }
  if (member.state === state) return {kind: 'unchanged'};
  if (state === 'removed' && group.primary === name) {
    return {kind: 'refused', reason: 'it is the primary: drain it first'};
  }
  return changeMember(view, group, {...member, state});
}
