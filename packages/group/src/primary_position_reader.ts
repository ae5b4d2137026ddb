import {MemberClient, MemberStatus} from '@apricotlock/member';
import {Position} from '@apricotlock/session';
import {
  DatabaseGroup,
  majorityOf,
  Member,
  votingMembers,
} from '@apricotlock/topology';

const STATUS_TIMEOUT_MILLISECONDS = 400;

/**
 * Reads the current log position of a group's primary. A primary that was
 * replaced without knowing it would report an old position. Therefore a
 * majority of the group must confirm, after the read was requested, that it is
 * not fenced at a later term. Source: the read index of Ongaro, "Consensus:
 * Bridging Theory and Practice", 2014, section 6.4.
 */
export class PrimaryPositionReader {
  private currentRead: Promise<unknown> | undefined;
  private queuedRead: Promise<Position | undefined> | undefined;

  private constructor(
    private readonly client: MemberClient,
    private readonly group: () => DatabaseGroup,
  ) {}

  /** Creates a reader for the group that `group` returns at each read. */
  static create(
    client: MemberClient,
    group: () => DatabaseGroup,
  ): PrimaryPositionReader {
    return new PrimaryPositionReader(client, group);
  }

  /**
   * Resolves with the position of the primary of `term` at a moment after this
   * call, or `undefined` if no majority confirms it. Calls made while a query
   * is running share the next query, which starts after all of them.
   */
  read(term: number): Promise<Position | undefined> {
    if (this.queuedRead !== undefined) return this.queuedRead;
    if (this.currentRead === undefined) return this.startRead(term);
    this.queuedRead = this.currentRead.then(() => {
      this.queuedRead = undefined;
      return this.startRead(term);
    });
    return this.queuedRead;
  }

  private startRead(term: number): Promise<Position | undefined> {
    const position = this.queryMembers(term);
    const currentRead = position.finally(() => {
      if (this.currentRead === currentRead) this.currentRead = undefined;
    });
    this.currentRead = currentRead;
    return position;
  }

  private queryMembers(term: number): Promise<Position | undefined> {
    const group = this.group();
    const members = votingMembers(group);
    if (group.term !== term) return Promise.resolve(undefined);
    return new Promise(resolve => {
      const unfenced: MemberStatus[] = [];
      let pendingCount = members.length;
      for (const member of members) {
        void this.fetchStatus(member).then(status => {
          pendingCount -= 1;
          if (isUnfenced(status, term)) unfenced.push(status);
          const position = findConfirmedPosition(group, unfenced);
          if (position !== undefined || pendingCount === 0) resolve(position);
        });
      }
      if (members.length === 0) resolve(undefined);
    });
  }

  private async fetchStatus(member: Member): Promise<MemberStatus | undefined> {
    const answer = await this.client.fetchStatus(member.apiAddress, {
      holdMilliseconds: 0,
      timeoutMilliseconds: STATUS_TIMEOUT_MILLISECONDS,
    });
    return answer.toMaybe().extract();
  }
}

/**
 * Returns whether the highest term at which the member is fenced is `term`, so
 * that no failover to a later term has reached it.
 */
function isUnfenced(
  status: MemberStatus | undefined,
  term: number,
): status is MemberStatus {
  return status?.fencedTerm === term;
}

/**
 * Returns the primary's position if the primary and a majority of the group
 * are among the unfenced members, or `undefined` otherwise.
 */
function findConfirmedPosition(
  group: DatabaseGroup,
  unfenced: readonly MemberStatus[],
): Position | undefined {
  if (unfenced.length < majorityOf(group)) return undefined;
  const primary = unfenced.find(({name}) => name === group.primary);
  const isPrimary = primary?.role === 'primary' && primary.term === group.term;
  return isPrimary ? primary.received : undefined;
}
