import {ControlLog} from '@apricotlock/control';
import {Logger} from '@apricotlock/logging';
import {MemberClient, MemberStatus} from '@apricotlock/member';
import {TimerService} from '@apricotlock/timer';
import {
  DatabaseGroup,
  findMember,
  majorityOf,
  Member,
  votingMembers,
} from '@apricotlock/topology';
import {askMembers} from './ask_members.js';
import {repeatCommand} from './repeat_command.js';

/** How long a member may take to learn whom to follow. */
const FOLLOW_TIMEOUT_MILLISECONDS = 400;

/** What a round needs. */
export interface RoundOptions {
  readonly log: ControlLog;
  readonly client: MemberClient;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/** Why a round is made, and what it has to go above. */
export interface RoundReason {
  readonly text: string;
  /** The highest term that a member is known to be fenced at. */
  readonly highestTerm: number;
  /** A member that others cannot reach, though this process may. */
  readonly avoided?: string;
}

/**
 * One attempt to give a group a primary, in a term of its own: the term is
 * opened in the replicated log, a majority of the group is fenced at it, and
 * the fenced member with the longest log of the latest term is promoted.
 * Whatever becomes of a round, a later one can be made: it fences a majority
 * again, and so hears of all that this one may have let be confirmed.
 */
export class FailoverRound {
  private constructor(
    private readonly group: DatabaseGroup,
    private readonly term: number,
    private readonly options: RoundOptions,
  ) {}

  /** Makes a round; `true` if the group has a primary of its term now. */
  static async run(
    group: DatabaseGroup,
    reason: RoundReason,
    options: RoundOptions,
  ): Promise<boolean> {
    const term = Math.max(group.term, reason.highestTerm) + 1;
    const round = new FailoverRound(group, term, options);
    if (!(await round.open(reason.text))) return false;
    const {database} = group;
    options.logger.warn('failing over', {database, term, reason: reason.text});
    const fenced = await round.fenceWithout(reason.avoided);
    if (fenced.length < majorityOf(group)) return round.gaveUp('no majority');
    const chosen = findMember(group, longestLog(fenced).name);
    if (chosen === undefined) return round.gaveUp('unknown member');
    if (!(await round.promote(chosen))) return round.gaveUp('not promoted');
    return round.appoint(chosen);
  }

  /** Takes over a primary that led its group before the system knew of it. */
  static async adopt(
    group: DatabaseGroup,
    leading: MemberStatus,
    options: RoundOptions,
  ): Promise<boolean> {
    const round = new FailoverRound(group, leading.term, options);
    const member = findMember(group, leading.name);
    if (member === undefined || !(await round.open('first seen'))) return false;
    return round.appoint(member);
  }

  private async open(reason: string): Promise<boolean> {
    const {group, term} = this;
    const answer = await this.options.log.propose({
      kind: 'beginTerm',
      database: group.database,
      expectedTerm: group.term,
      term,
      reason,
      at: this.options.timer.wallClock(),
    });
    return answer.toMaybe().extract()?.kind === 'accepted';
  }

  /**
   * Any fenced majority will do, since what was confirmed is held by one of
   * it; the avoided member is part of it only where there is no other.
   */
  private async fenceWithout(
    avoided: string | undefined,
  ): Promise<readonly MemberStatus[]> {
    const all = votingMembers(this.group);
    const others = all.filter(({name}) => name !== avoided);
    const fenced = await this.fence(others);
    const enough = fenced.length >= majorityOf(this.group);
    return enough || others.length === all.length ? fenced : this.fence(all);
  }

  /** The fenced members that count, once they are a majority. */
  private fence(members: readonly Member[]): Promise<readonly MemberStatus[]> {
    const {group, term} = this;
    const {client, timer} = this.options;
    return askMembers(
      members,
      member =>
        repeatCommand(timer, timeoutMilliseconds =>
          client.fence(member.apiAddress, term, timeoutMilliseconds),
        ),
      {enough: majorityOf(group), counts: status => hasHistory(group, status)},
    );
  }

  private async promote(chosen: Member): Promise<boolean> {
    const {client, timer} = this.options;
    const answer = await repeatCommand(timer, timeoutMilliseconds =>
      client.promote(chosen.apiAddress, this.term, timeoutMilliseconds),
    );
    const status = answer.toMaybe().extract();
    return status?.role === 'primary' && status.term === this.term;
  }

  private async appoint(primary: Member): Promise<boolean> {
    const {log, logger, timer} = this.options;
    const {group, term} = this;
    const {database} = group;
    const answer = await log.propose({
      kind: 'setPrimary',
      database,
      term,
      primary: primary.name,
      at: timer.wallClock(),
    });
    const accepted = answer.toMaybe().extract()?.kind === 'accepted';
    if (!accepted) return this.gaveUp('overtaken');
    logger.info('a primary was appointed', {
      database,
      term,
      primary: primary.name,
    });
    this.makeOthersFollow(primary);
    return true;
  }

  /** Nothing is confirmed before a replica follows: they are told at once. */
  private makeOthersFollow(primary: Member): void {
    const {name, apiAddress} = primary;
    for (const member of votingMembers(this.group)) {
      if (member.name === name) continue;
      void this.options.client.follow(
        member.apiAddress,
        this.term,
        {name, apiAddress},
        FOLLOW_TIMEOUT_MILLISECONDS,
      );
    }
  }

  private gaveUp(reason: string): false {
    const {database} = this.group;
    this.options.logger.warn('a failover round came to nothing', {
      database,
      term: this.term,
      reason,
    });
    return false;
  }
}

/**
 * A member of no term has an empty disk. It may have confirmed records before
 * it lost them, so it counts for no majority until it has caught up; only in
 * a group that never had a primary there is nothing to lose.
 */
function hasHistory(group: DatabaseGroup, status: MemberStatus): boolean {
  return group.term === 0 || status.term > 0;
}

/** The member whose log is the longest of those of the latest term. */
function longestLog(statuses: readonly MemberStatus[]): MemberStatus {
  return statuses.reduce((best, status) => {
    if (status.term !== best.term) {
      return status.term > best.term ? status : best;
    }
    return status.received > best.received ? status : best;
  });
}
