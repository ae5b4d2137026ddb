import {Address} from './address.js';

/** Whether a member accepts work. */
export type MemberState = 'active' | 'draining' | 'removed';

/** The capacity that a backend server reports for itself. */
export interface MemberCapacity {
  /** The maximum number of open connections. */
  readonly connections: number;
  /** The maximum number of statements that run at once. */
  readonly slots: number;
}

/** A backend server as one member of a database group. */
export interface Member {
  readonly name: string;
  readonly database: string;
  readonly dataCentre: string;
  /** The address that accepts statements. */
  readonly address: Address;
  /** The address that serves the member API. */
  readonly apiAddress: Address;
  /** A number that increases with each start of the member. */
  readonly incarnation: number;
  readonly state: MemberState;
  /** If omitted, only the limits of the catalogue apply. */
  readonly capacity?: MemberCapacity | undefined;
  /**
   * The sequence number of the last accepted report that the member made of
   * itself in this incarnation.
   */
  readonly reportSequence?: number | undefined;
  /**
   * Set on a removed member for as long as commits may exist that only the
   * primary and this member held.
   */
  readonly hasUnconfirmedLog?: boolean | undefined;
}

/** The members of one database: a primary and its replicas. */
export interface DatabaseGroup {
  readonly database: string;
  /** The number of members of the complete group, from the catalogue. */
  readonly size: number;
  /** The highest term that the control quorum has assigned. */
  readonly term: number;
  /** The primary of the term; `undefined` until one is assigned. */
  readonly primary: string | undefined;
  /**
   * The last primary of earlier terms, while the term has none. A view of an
   * earlier version of the product lacks it.
   */
  readonly formerPrimary?: string | undefined;
  /**
   * The lease holder: the entry VM that may use the primary of the term. While
   * the term has no primary, the VM that may still hold the previous lease.
   */
  readonly holder?: string | undefined;
  /**
   * The member whose promotion was ordered in this term. Until the term has a
   * primary, the promotion may take effect at any moment.
   */
  readonly promoting?: string | undefined;
  readonly members: readonly Member[];
}

/** Returns the member with the given name, or `undefined` if there is none. */
export function findMember(
  group: DatabaseGroup,
  name: string,
): Member | undefined {
  return group.members.find(member => member.name === name);
}

/** Returns the members that count for majorities: all except removed ones. */
export function votingMembers(group: DatabaseGroup): readonly Member[] {
  return group.members.filter(member => member.state !== 'removed');
}

/**
 * Returns the members of which any two may be the only ones that held a commit
 * when it was acknowledged: the voting members, and the removed members whose
 * log is not known to be on other replicas.
 */
export function possibleLogHolders(group: DatabaseGroup): readonly Member[] {
  return group.members.filter(
    ({state, hasUnconfirmedLog}) =>
      state !== 'removed' || hasUnconfirmedLog === true,
  );
}

/**
 * Returns the number of members that form a majority. The count includes
 * members that have never announced themselves, because a majority of only the
 * known members could be a minority of the group.
 */
export function majorityOf(group: DatabaseGroup): number {
  const members = Math.max(group.size, votingMembers(group).length);
  return Math.floor(members / 2) + 1;
}
