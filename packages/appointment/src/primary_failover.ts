import {ControlCommand} from '@apricotlock/control';
import {Observable} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {
  DatabaseGroup,
  findGroup,
  findMember,
  Member,
  VirtualMachine,
} from '@apricotlock/topology';
import {findCaughtUpReplica} from './caught_up_replica.js';
import {DrainDeadlines} from './drain_deadlines.js';
import {holderRanking, selectLeaseHolder} from './holder_selection.js';
import {LeaseGrantor} from './lease_grantor.js';
import {LeaseRevocation} from './lease_revocation.js';
import {MemberWithReport} from './member_admin_client.js';
import {
  OrderedPromotion,
  OrderedPromotionOptions,
} from './ordered_promotion.js';
import {restoreReplication} from './replication_repair.js';
import {
  requiredFencedCount,
  highestTerm,
  isSynchronous,
  findPrimary,
  longestLog,
  presentMembers,
} from './replication_state.js';

/** Why a failover is started. */
export type FailoverCause =
  /** The group has no primary, or the outcome of the last failover is unknown. */
  | 'noPrimary'
  /** The lease holder is lost or draining; the primary itself works. */
  | 'holderLost'
  /** The primary is draining. */
  | 'planned'
  /** The primary is unreachable, or no replica confirms its commits. */
  | 'primaryLost';

/** Dependencies of a primary failover. */
export interface PrimaryFailoverOptions extends OrderedPromotionOptions {
  readonly self: string;
  readonly network: PeerNetwork;
  readonly grantor: LeaseGrantor;
  readonly deadlines: DrainDeadlines;
  /** The entry VMs that may become the lease holder. */
  readonly holderCandidates: () => readonly VirtualMachine[];
  readonly machines: Observable<readonly VirtualMachine[]>;
}

/**
 * One attempt to give a group a primary and a lease holder, in a term of its
 * own. Either the old primary is kept, or all members but one are fenced and
 * the fenced member with the longest log is promoted. The new lease holder is
 * assigned only when no primary lease of an earlier term remains: the former
 * holder has confirmed the revocation, or its lease has run out. If commits
 * wait for a replica, members may be fenced before that, because the old
 * primary can't acknowledge any commit once they are. A failover that is
 * interrupted is continued by the next one, on any VM that leads control.
 */
export class PrimaryFailover {
  /** Resolves once no primary lease of an earlier term remains. */
  private revocation: Promise<void> = Promise.resolve();
  /**
   * Whether a promotion ordered since the last primary was assigned may have
   * taken effect, or still will, on a member that this VM can't reach. The old
   * primary must not be assigned again then: its commits would be rolled back
   * once the members reach the one that was promoted.
   */
  private mayHavePromoted = false;

  private constructor(
    private readonly database: string,
    private readonly term: number,
    private readonly cause: FailoverCause,
    /** The term of the control log in which this VM decides. */
    private readonly leadingTerm: number,
    private readonly options: PrimaryFailoverOptions,
  ) {}

  /** Runs a failover. Resolves to whether it assigned a primary. */
  static async run(
    group: DatabaseGroup,
    cause: FailoverCause,
    options: PrimaryFailoverOptions,
  ): Promise<boolean> {
    const {database, holder} = group;
    const {leadingTerm} = options.log;
    if (leadingTerm === undefined) return false;
    const opens = group.primary !== undefined;
    const term = opens ? group.term + 1 : Math.max(1, group.term);
    const task = new PrimaryFailover(
      database,
      term,
      cause,
      leadingTerm,
      options,
    );
    task.logInfo('primary failover started', {
      cause,
      formerPrimary: group.primary,
      holder,
    });
    if ((opens || group.term === 0) && !(await task.begin(group))) return false;
    if (holder !== undefined) task.revocation = task.revokeLease(holder);
    const current = task.currentGroup();
    if (current === undefined) return false;
    if (current.promoting !== undefined) {
      // The failover that ordered the promotion may have requested it.
      task.mayHavePromoted = true;
      return task.runPromotion(current);
    }
    return task.selectPrimary(current, group.primary);
  }

  /**
   * Opens the term in the control log. From then on, leases of earlier terms
   * are no longer renewed.
   */
  private async begin({term}: DatabaseGroup): Promise<boolean> {
    const accepted = await this.propose({
      kind: 'beginTerm',
      database: this.database,
      expectedTerm: term,
      term: this.term,
      reason: this.cause,
      at: this.options.timer.wallClock(),
    });
    if (!accepted) this.logInfo('control log did not accept the new term', {});
    return accepted;
  }

  /** Resolves once the former holder has no lease of an earlier term. */
  private async revokeLease(holder: string): Promise<void> {
    const {database, term, cause} = this;
    const planned = cause === 'planned' || cause === 'holderLost';
    const revocation = LeaseRevocation.of(
      {database, term, holder, planned},
      this.options,
    );
    const waited = await revocation.run();
    this.logInfo('no lease of the former primary remains', {holder, waited});
  }

  /** Keeps the current primary, or promotes another member. */
  private async selectPrimary(
    group: DatabaseGroup,
    formerPrimary: string | undefined,
  ): Promise<boolean> {
    const {memberAdmin, log} = this.options;
    const members = presentMembers(group);
    // Querying a primary known to be lost would only delay the failover.
    const queried =
      this.cause === 'primaryLost'
        ? members.filter(({name}) => name !== formerPrimary)
        : members;
    const reported = await memberAdmin.reports(queried);
    const reports = withoutOutdatedPrimary(reported, group);
    const primary = findPrimary(reports);
    const mayKeepPrimary =
      this.cause === 'noPrimary' || this.cause === 'holderLost';
    if (primary !== undefined && mayKeepPrimary && isActive(primary)) {
      return this.assignLeaseHolder(primary.member);
    }
    if (!isSynchronous(log.state.current.view, group)) await this.revocation;
    if (primary !== undefined && this.cause !== 'primaryLost') {
      await this.revocation;
      const replica = await this.findSuccessor(group, primary.member);
      if (replica !== undefined) return this.promote(group, replica, reports);
    }
    return this.fenceAndPromote(group, reports);
  }

  /**
   * Returns an active replica with everything that the draining primary holds;
   * `undefined` if there is none in time.
   */
  private findSuccessor(
    group: DatabaseGroup,
    primary: Member,
  ): Promise<MemberWithReport | undefined> {
    const excluded = [primary.name, group.promoting];
    const candidates = presentMembers(group).filter(
      ({name, state}) => state === 'active' && !excluded.includes(name),
    );
    return findCaughtUpReplica(primary, candidates, this.options);
  }

  /**
   * Fences the replicas and promotes the one with the longest log. A primary
   * that answers is not demoted for this: it may hold commits that no other
   * reachable member holds, and could not be promoted again. It stays the
   * primary if too few replicas can be fenced, unless another member may have
   * been promoted.
   */
  private async fenceAndPromote(
    group: DatabaseGroup,
    reported: readonly MemberWithReport[],
  ): Promise<boolean> {
    const {memberAdmin} = this.options;
    const replicas = reported.filter(({report}) => report.role !== 'primary');
    const fenced = await memberAdmin.fence(
      replicas.map(({member}) => member),
      highestTerm(reported) + 1,
    );
    const needed = requiredFencedCount(group);
    const enough = fenced.length >= needed;
    const successor = longestLog(fenced);
    const primary = findPrimary(reported);
    // Replacing one draining primary by another brings no usable one nearer.
    const isUseful = primary === undefined || fenced.some(isActive);
    if (enough && isUseful && successor !== undefined) {
      return this.promote(group, successor, reported);
    }
    this.logInfo(
      enough
        ? 'all members that could be promoted are draining'
        : 'too few members could be fenced to promote a replica',
      {fenced: fenced.map(({member}) => member.name).join(' '), needed},
    );
    await this.releaseAll(fenced);
    if (primary === undefined) return false;
    if (!this.mayHavePromoted) return this.assignLeaseHolder(primary.member);
    this.logInfo('old primary not assigned: another may have been promoted', {
      primary: primary.member.name,
      ordered: group.promoting,
    });
    return false;
  }

  private async promote(
    group: DatabaseGroup,
    {member, report}: MemberWithReport,
    reported: readonly MemberWithReport[],
  ): Promise<boolean> {
    const {database, term} = this;
    const accepted = await this.propose({
      kind: 'orderPromotion',
      database,
      term,
      member: member.name,
      at: this.options.timer.wallClock(),
    });
    if (!accepted) return false;
    this.logInfo('ordering the promotion of a replica', {
      member: member.name,
      received: `${report.received.term}.${report.received.number}`,
      answered: reported.map(each => each.member.name).join(' '),
    });
    return this.runPromotion({...group, promoting: member.name});
  }

  /**
   * Requests the promotion recorded in the control log and waits until it has
   * taken effect.
   */
  private async runPromotion(group: DatabaseGroup): Promise<boolean> {
    const member = findMember(group, group.promoting ?? '');
    if (member === undefined) return false;
    const {term, leadingTerm} = this;
    const isInForce = () => this.currentGroup()?.promoting === member.name;
    const promotion = OrderedPromotion.of(
      {member, term, leadingTerm, isInForce},
      this.options,
    );
    const report = await promotion.run();
    if (promotion.mayTakeEffect) this.mayHavePromoted = true;
    if (report === undefined) return this.abandonPromotion(group);
    void this.restoreReplication(group, member, report.term);
    return this.usePromoted(group, member);
  }

  /**
   * Assigns a member that has been promoted. If it is past its drain deadline,
   * it only passes its log on to a replica, which is promoted in its place.
   */
  private async usePromoted(
    group: DatabaseGroup,
    member: Member,
  ): Promise<boolean> {
    await this.revocation;
    if (this.mayBeUsed(member)) return this.assignLeaseHolder(member);
    const replica = await this.findSuccessor(group, member);
    return replica !== undefined && this.promote(group, replica, [replica]);
  }

  /** Returns whether a member is not past its drain deadline. */
  private mayBeUsed(member: Member): boolean {
    const group = this.currentGroup();
    const current = group && findMember(group, member.name);
    return this.options.deadlines.allowsLease(current ?? member);
  }

  /**
   * Tries to promote another member, because the member whose promotion was
   * ordered did not become the primary. No lease has been granted since the old
   * primary's, so a replica with the whole log of the old primary lacks no
   * acknowledged commit, and its later term supersedes the ordered promotion.
   */
  private async abandonPromotion(group: DatabaseGroup): Promise<boolean> {
    const {memberAdmin} = this.options;
    const reported = await memberAdmin.reports(presentMembers(group));
    const usable = reported.filter(
      ({member}) => member.name !== group.promoting,
    );
    const primary = findPrimary(usable);
    if (primary !== undefined && this.mayHavePromoted) {
      await this.revocation;
      const replica = await this.findSuccessor(group, primary.member);
      if (replica !== undefined) return this.promote(group, replica, usable);
    }
    return this.fenceAndPromote(group, usable);
  }

  private async assignLeaseHolder(primary: Member): Promise<boolean> {
    const {database, term} = this;
    await this.revocation;
    if (!this.mayBeUsed(primary)) {
      this.logInfo('draining primary not assigned: its drain time is over', {
        primary: primary.name,
      });
      return false;
    }
    const {network, holderCandidates, log} = this.options;
    const {groups} = log.state.current.view;
    const ranking = holderRanking(primary, holderCandidates(), groups);
    const selected = await selectLeaseHolder(ranking, network);
    const holder = selected?.name;
    if (holder === undefined) {
      this.logInfo('no entry VM is available as lease holder', {
        primary: primary.name,
      });
      return false;
    }
    const accepted = await this.propose({
      kind: 'setPrimary',
      database,
      term,
      primary: primary.name,
      holder,
      at: this.options.timer.wallClock(),
    });
    this.logInfo(
      accepted ? 'primary assigned' : 'primary assignment not accepted',
      {primary: primary.name, state: primary.state, holder},
    );
    return accepted;
  }

  /** Returns whether the control log has accepted a command. */
  private async propose(command: ControlCommand): Promise<boolean> {
    const {log} = this.options;
    const answer = await log.proposeInTerm(command, this.leadingTerm);
    return answer.toMaybe().extract()?.kind === 'accepted';
  }

  /** Makes the other members replicate from a member that was promoted. */
  private async restoreReplication(
    group: DatabaseGroup,
    primary: Member,
    term: number,
  ): Promise<void> {
    const {memberAdmin, timer, log} = this.options;
    const others = presentMembers(group).filter(
      ({name}) => name !== primary.name,
    );
    const isSuperseded = () =>
      !log.leading.current || !this.mayLead(primary.name);
    const mayRelease = () =>
      log.isCertainlyLeading && this.isChosen(primary.name);
    const context = {memberAdmin, timer, isSuperseded, mayRelease};
    const pending = await restoreReplication(others, term, context);
    if (pending.length === 0) return;
    this.logInfo('could not reach all members after the promotion', {
      members: pending.map(({name}) => name).join(' '),
    });
  }

  private async releaseAll(fenced: readonly MemberWithReport[]): Promise<void> {
    const {memberAdmin, log} = this.options;
    // Members that stay fenced hold up all commits, so the contact with a quorum
    // that the release needs is renewed first.
    if (!(await log.confirmLeading())) return;
    const mayRelease = () =>
      log.isCertainlyLeading && this.currentGroup() !== undefined;
    await Promise.all(
      fenced.map(({member}) => memberAdmin.release(member, mayRelease)),
    );
  }

  /** Returns whether no other member has been assigned as the primary. */
  private mayLead(member: string): boolean {
    const {primary} = this.latestGroup() ?? {};
    return primary === undefined || primary === member;
  }

  /**
   * Returns whether a member is the primary, or is to be assigned by this
   * failover. It isn't while a later failover selects a primary.
   */
  private isChosen(member: string): boolean {
    const {primary} = this.latestGroup() ?? {};
    if (primary !== undefined) return primary === member;
    return this.currentGroup()?.promoting === member;
  }

  private latestGroup(): DatabaseGroup | undefined {
    return findGroup(this.options.log.state.current.view, this.database);
  }

  /** The group, or `undefined` if the term of this failover is over. */
  private currentGroup(): DatabaseGroup | undefined {
    const group = this.latestGroup();
    return group?.term === this.term ? group : undefined;
  }

  private logInfo(
    message: string,
    fields: Readonly<Record<string, string | number | undefined>>,
  ): void {
    const {database, term} = this;
    this.options.logger.info(message, {database, term, ...fields});
  }
}

function isActive({member}: MemberWithReport): boolean {
  return member.state === 'active';
}

/**
 * Returns the reports without that of a member whose term may be over: it acts as
 * a primary, but another member was assigned last, and none reports its term. It
 * may lack the commits of its successor. A member that was assigned and has been
 * removed may have passed its log and role on.
 */
function withoutOutdatedPrimary(
  reported: readonly MemberWithReport[],
  group: DatabaseGroup,
): readonly MemberWithReport[] {
  const former = findMember(group, group.formerPrimary ?? '');
  if (former === undefined || former.state === 'removed') return reported;
  return reported.filter(({member, report}) => {
    const isFollowed = reported.some(
      other => other.member !== member && other.report.term === report.term,
    );
    const isFormer = member.name === former.name;
    return report.role !== 'primary' || isFormer || isFollowed;
  });
}
