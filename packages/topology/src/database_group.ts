import {Address} from './address.js';

/** Whether a member takes work. */
export type MemberState = 'active' | 'draining' | 'removed';

/** A backend server as one member of a database group. */
export interface Member {
  readonly name: string;
  readonly database: string;
  readonly dataCentre: string;
  /** Where it takes statements. */
  readonly address: Address;
  /** Where it takes calls of the member API. */
  readonly apiAddress: Address;
  readonly state: MemberState;
}

/** One database: a primary and its replicas. */
export interface DatabaseGroup {
  readonly database: string;
  /** The highest term that the control quorum has given out. */
  readonly term: number;
  /** The term's primary; `undefined` while one is being chosen. */
  readonly primary: string | undefined;
  readonly members: readonly Member[];
}

/** The member with this name. */
export function findMember(
  group: DatabaseGroup,
  name: string,
): Member | undefined {
  return group.members.find(member => member.name === name);
}

/** The members that count for majorities: all but the removed ones. */
export function votingMembers(group: DatabaseGroup): readonly Member[] {
  return group.members.filter(member => member.state !== 'removed');
}

/** How many members make a majority of the group. */
export function majorityOf(group: DatabaseGroup): number {
  return Math.floor(votingMembers(group).length / 2) + 1;
}
