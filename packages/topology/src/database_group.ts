import {Address} from './address.js';

/** Whether a member takes work. */
export type MemberState = 'active' | 'draining' | 'removed';

/** What a backend server can do at once, as it says itself. */
export interface MemberCapacity {
  /** Open connections at most. */
  readonly connections: number;
  /** Statements that run at once at most. */
  readonly slots: number;
}

/** A backend server as one member of a database group. */
export interface Member {
  readonly name: string;
  readonly database: string;
  readonly dataCentre: string;
  /** Where it takes statements. */
  readonly address: Address;
  /** Where it takes calls of the member API. */
  readonly apiAddress: Address;
  /** New at each start of the member, and then higher. */
  readonly incarnation: number;
  readonly state: MemberState;
  /** Unless it says so, only the catalogue's limits count. */
  readonly capacity?: MemberCapacity | undefined;
  /** Which of its own reports of this incarnation was taken over last. */
  readonly reportSequence?: number | undefined;
}

/** One database: a primary and its replicas. */
export interface DatabaseGroup {
  readonly database: string;
  /** How many members it has when it is whole, as the catalogue says. */
  readonly size: number;
  /** The highest term that the control quorum has given out. */
  readonly term: number;
  /** The term's primary; `undefined` while one is being chosen. */
  readonly primary: string | undefined;
  /**
   * The entry VM that may use the term's primary, where one is named; while a
   * primary is being chosen, the one that might the last one.
   */
  readonly holder?: string | undefined;
  /**
   * The member whose promotion was ordered in this term. Until a primary is
   * named it may take effect at any moment.
   */
  readonly promoting?: string | undefined;
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

/**
 * How many members make a majority. Members that have never announced
 * themselves count too: a majority of the known ones could be a minority.
 */
export function majorityOf(group: DatabaseGroup): number {
  const members = Math.max(group.size, votingMembers(group).length);
  return Math.floor(members / 2) + 1;
}
