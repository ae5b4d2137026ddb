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
import {collectStatuses} from './collect_statuses.js';
import {retryCommand} from './retry_command.js';

const FOLLOW_TIMEOUT_MILLISECONDS = 400;

/** Dependencies of {@link FailoverAttempt}. */
export interface FailoverAttemptOptions {
  readonly log: ControlLog;
  readonly client: MemberClient;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/** The reason for an attempt and its constraints. */
export interface FailoverReason {
  readonly text: string;
  /**
   * The highest term at which any member is known to be fenced; the term of
   * the attempt must be higher.
   */
  readonly highestTerm: number;
  /** A member that other VMs cannot reach, although this process may. */
  readonly avoidedMember?: string;
}

/**
 * One attempt to promote a primary for a group, in a new term: the term is
 * recorded in the replicated control log, a majority of the group is fenced at
 * it, and of the fenced members with the latest term the one with the longest
 * log is promoted. An attempt may fail at any step and be followed by another,
 * which fences a majority again and so learns of all writes that may have been
 * confirmed in this term. All commands are sent through the member API.
 */
export class FailoverAttempt {
  private constructor(
    private readonly group: DatabaseGroup,
    private readonly term: number,
    private readonly options: FailoverAttemptOptions,
  ) {}

  /**
   * Runs an attempt. Resolves to whether the group now has a primary of the
   * attempt's term.
   */
  static async run(
    group: DatabaseGroup,
    reason: FailoverReason,
    options: FailoverAttemptOptions,
  ): Promise<boolean> {
    const term = Math.max(group.term, reason.highestTerm) + 1;
    const attempt = new FailoverAttempt(group, term, options);
    if (!(await attempt.open(reason.text))) return false;
    const {database} = group;
    options.logger.warn('starting a failover', {
      database,
      term,
      reason: reason.text,
    });
    const fenced = await attempt.fenceMajority(reason.avoidedMember);
    if (fenced.length < majorityOf(group)) return attempt.fail('no majority');
    const chosen = findMember(group, findLongestLog(fenced).name);
    if (chosen === undefined) return attempt.fail('chosen member is unknown');
    if (!(await attempt.promote(chosen))) return attempt.fail('not promoted');
    return attempt.assignPrimary(chosen);
  }

  /**
   * Records the primary that a group already had when it was first seen.
   * Resolves to whether the control log accepted it.
   */
  static async adopt(
    group: DatabaseGroup,
    primary: MemberStatus,
    options: FailoverAttemptOptions,
  ): Promise<boolean> {
    const task = new FailoverAttempt(group, primary.term, options);
    const member = findMember(group, primary.name);
    if (member === undefined || !(await task.open('first seen'))) return false;
    return task.assignPrimary(member);
  }

  /** Opens the term in the control log; resolves to whether it was accepted. */
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
   * Fences a majority of the group. Any majority is sufficient, because each
   * confirmed write is held by at least one of its members. The avoided member
   * is included only if the others are not a majority.
   */
  private async fenceMajority(
    avoidedMember: string | undefined,
  ): Promise<readonly MemberStatus[]> {
    const allMembers = votingMembers(this.group);
    const others = allMembers.filter(({name}) => name !== avoidedMember);
    const fenced = await this.fence(others);
    const isMajority = fenced.length >= majorityOf(this.group);
    return isMajority || others.length === allMembers.length
      ? fenced
      : this.fence(allMembers);
  }

  /**
   * Fences the given members. Resolves with the statuses of those that have a
   * history once they are a majority, or with fewer after all have answered.
   */
  private fence(members: readonly Member[]): Promise<readonly MemberStatus[]> {
    const {group, term} = this;
    const {client, timer} = this.options;
    return collectStatuses(
      members,
      member =>
        retryCommand(timer, timeoutMilliseconds =>
          client.fence(member.apiAddress, term, timeoutMilliseconds),
        ),
      {
        requiredCount: majorityOf(group),
        accepts: status => hasHistory(group, status),
      },
    );
  }

  private async promote(chosen: Member): Promise<boolean> {
    const {client, timer} = this.options;
    const answer = await retryCommand(timer, timeoutMilliseconds =>
      client.promote(chosen.apiAddress, this.term, timeoutMilliseconds),
    );
    const status = answer.toMaybe().extract();
    return status?.role === 'primary' && status.term === this.term;
  }

  private async assignPrimary(primary: Member): Promise<boolean> {
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
    if (!accepted) return this.fail('primary not accepted by the control log');
    logger.info('primary assigned', {
      database,
      term,
      primary: primary.name,
    });
    this.makeOthersFollow(primary);
    return true;
  }

  /**
   * Commands the other members to follow the new primary without waiting for
   * the replica reconciler, as no write is confirmed until a replica follows.
   */
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

  /** Logs the failure of the attempt and returns `false`. */
  private fail(reason: string): false {
    const {database} = this.group;
    this.options.logger.warn('failover attempt failed', {
      database,
      term: this.term,
      reason,
    });
    return false;
  }
}

/**
 * Returns whether a member counts towards a majority. A member with term 0 has
 * an empty disk and may have lost records that it had confirmed, so it does not
 * count until it has caught up. In a group that never had a primary, nothing
 * can have been lost.
 */
function hasHistory(group: DatabaseGroup, status: MemberStatus): boolean {
  return group.term === 0 || status.term > 0;
}

/** Returns the member with the longest log among those of the latest term. */
function findLongestLog(statuses: readonly MemberStatus[]): MemberStatus {
  return statuses.reduce((best, status) => {
    if (status.term !== best.term) {
      return status.term > best.term ? status : best;
    }
    return status.received > best.received ? status : best;
  });
}
