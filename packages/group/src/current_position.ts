import {MemberClient, MemberStatus} from '@apricotlock/member';
import {Position} from '@apricotlock/session';
import {
  DatabaseGroup,
  majorityOf,
  Member,
  votingMembers,
} from '@apricotlock/topology';

const ANSWER_TIMEOUT_MILLISECONDS = 400;

/**
 * Reads where a group's primary stands. A primary that was replaced without
 * knowing it would give an old position: so a majority of the group has to
 * say, after the question was put, that it is not fenced at a later term.
 * Source: the read index of Ongaro, "Consensus: Bridging Theory and Practice",
 * 2014, section 6.4.
 */
export class CurrentPosition {
  private running: Promise<unknown> | undefined;
  private next: Promise<Position | undefined> | undefined;

  private constructor(
    private readonly client: MemberClient,
    private readonly group: () => DatabaseGroup,
  ) {}

  /** A reader of the position of whatever `group` gives. */
  static of(client: MemberClient, group: () => DatabaseGroup): CurrentPosition {
    return new CurrentPosition(client, group);
  }

  /**
   * The primary's position in `term`, at a moment after this call; `undefined`
   * if no majority bears it out. All who ask while a question is under way
   * share the next one, which is put after they asked.
   */
  read(term: number): Promise<Position | undefined> {
    if (this.next !== undefined) return this.next;
    if (this.running === undefined) return this.start(term);
    this.next = this.running.then(() => {
      this.next = undefined;
      return this.start(term);
    });
    return this.next;
  }

  private start(term: number): Promise<Position | undefined> {
    const asked = this.ask(term);
    const running = asked.finally(() => {
      if (this.running === running) this.running = undefined;
    });
    this.running = running;
    return asked;
  }

  private ask(term: number): Promise<Position | undefined> {
    const group = this.group();
    const members = votingMembers(group);
    if (group.term !== term) return Promise.resolve(undefined);
    return new Promise(resolve => {
      const unfenced: MemberStatus[] = [];
      let open = members.length;
      for (const member of members) {
        void this.statusOf(member).then(status => {
          open -= 1;
          if (isUnfenced(status, term)) unfenced.push(status);
          const position = borneOut(group, unfenced);
          if (position !== undefined || open === 0) resolve(position);
        });
      }
      if (members.length === 0) resolve(undefined);
    });
  }

  private async statusOf(member: Member): Promise<MemberStatus | undefined> {
    const answer = await this.client.status(member.apiAddress, {
      holdMilliseconds: 0,
      timeoutMilliseconds: ANSWER_TIMEOUT_MILLISECONDS,
    });
    return answer.toMaybe().extract();
  }
}

function isUnfenced(
  status: MemberStatus | undefined,
  term: number,
): status is MemberStatus {
  return status?.fencedTerm === term;
}

function borneOut(
  group: DatabaseGroup,
  unfenced: readonly MemberStatus[],
): Position | undefined {
  if (unfenced.length < majorityOf(group)) return undefined;
  const primary = unfenced.find(({name}) => name === group.primary);
  const leads = primary?.role === 'primary' && primary.term === group.term;
  return leads ? primary.received : undefined;
}
