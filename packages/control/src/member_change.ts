import {
  Address,
  ClusterView,
  findGroup,
  findMember,
  Member,
} from '@apricotlock/topology';
import {MemberReport} from './control_command.js';
import {Change, changedGroup, changedMember} from './view_change.js';

/** A late report of a member that left must still find that it left. */
const MAXIMUM_REMOVED_MEMBERS = 32;

/** Takes over an announcement that is newer than what is known. */
export function registerMember(view: ClusterView, member: Member): Change {
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
    return changedGroup(view, {...group, members: [...group.members, member]});
  }
  // A late or repeated announcement must not bring an old address back.
  if (member.incarnation <= known.incarnation) return {kind: 'unchanged'};
  return changedMember(view, group, {...member, state: known.state});
}

/**
 * Takes over what a member says of itself, unless something newer is known:
 * reports are ordered by incarnation, and by sequence within one. An address
 * belongs to the incarnation that was started last, so that whoever had it
 * before is gone.
 */
export function takeReport(view: ClusterView, report: MemberReport): Change {
  const group = findGroup(view, report.database);
  if (group === undefined) {
    return {kind: 'refused', reason: 'no catalogue entry names the database'};
  }
  const member: Member = {...report, apiAddress: report.address};
  const known = findMember(group, member.name);
  if (known !== undefined && !isNewerReport(report, known)) {
    return {kind: 'unchanged'};
  }
  const atAddress = group.members.filter(
    other =>
      other.name !== member.name &&
      other.state !== 'removed' &&
      isSameAddress(other.address, member.address),
  );
  if (atAddress.some(other => other.incarnation > member.incarnation)) {
    return {kind: 'unchanged'};
  }
  const others = group.members
    .filter(({name}) => name !== member.name)
    .map(other => (atAddress.includes(other) ? removed(other) : other));
  return changedGroup(view, {...group, members: forgetOldest(member, others)});
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

function removed(member: Member): Member {
  return {...member, state: 'removed'};
}

/** The group's members; of those that left, only the latest are remembered. */
function forgetOldest(
  member: Member,
  others: readonly Member[],
): readonly Member[] {
  const all = [...others, member];
  const gone = all
    .filter(({state}) => state === 'removed')
    .sort((left, right) => right.incarnation - left.incarnation);
  const forgotten = new Set(gone.slice(MAXIMUM_REMOVED_MEMBERS));
  return all.filter(each => !forgotten.has(each));
}

/** Lets a member take work, or no new work, or no part any more. */
export function setMemberState(
  view: ClusterView,
  name: string,
  state: Member['state'],
): Change {
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
  return changedMember(view, group, {...member, state});
}
