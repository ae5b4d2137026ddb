import {ControlLog} from '@apricotlock/control';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {comparePositions} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {
  DatabaseGroup,
  findGroup,
  findMember,
  Member,
  ownerRanking,
  VirtualMachine,
} from '@apricotlock/topology';
import {HolderStop} from './holder_stop.js';
import {LeaseGrantor} from './lease_grantor.js';
import {KnownMember, MemberPanel} from './member_panel.js';
import {PromotionClient} from './promotion_client.js';
import {
  fencedNeeded,
  highestTerm,
  isSynchronous,
  leaderAmong,
  longestLog,
  presentMembers,
} from './succession.js';

/** How long a replica has to receive what the old primary holds. */
const CATCH_UP_MILLISECONDS = 1_500;
const CATCH_UP_POLL_MILLISECONDS = 20;
/** How long a promotion that was ordered may take. */
const PROMOTION_LIMIT_MILLISECONDS = 4_000;
const PROMOTION_POLL_MILLISECONDS = 40;
const PROMOTION_CALL_RETRY_MILLISECONDS = 200;
const CLEAN_UP_ATTEMPTS = 20;
const CLEAN_UP_RETRY_MILLISECONDS = 300;
const CANDIDATE_HOLDERS = 8;

/** Why a round is made. */
export type RoundCause =
  /** The group has no primary, or nobody knows whether the last round ended. */
  | 'noPrimary'
  /** The VM that may use the primary is lost or leaves; the primary is fine. */
  | 'holderLost'
  /** The primary leaves. */
  | 'planned'
  /** The primary can't be reached, or can't have its commits confirmed. */
  | 'primaryLost';

/** What became of the order to promote a member. */
type OrderOutcome = 'accepted' | 'notRunning' | 'notAccepted';

/** What a round needs. */
export interface RoundOptions {
  readonly self: string;
  /** The name by which outside systems know this VM. */
  readonly publicName: string;
  readonly log: ControlLog;
  readonly network: PeerNetwork;
  readonly panel: MemberPanel;
  readonly promotions: PromotionClient;
  readonly grantor: LeaseGrantor;
  /** The VMs that may hold a primary, the best ones first. */
  readonly holders: () => readonly VirtualMachine[];
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/**
 * One attempt to give a group a primary and a VM that may use it, in a term of
 * its own. Either the old primary goes on, or all members but one are fenced
 * and the one with the longest log is promoted. A VM is named for it only when
 * nobody uses the old primary any more: its holder says so, or its lease is
 * waited out. Where commits wait for a replica, fencing need not wait for that,
 * since from then on the old primary acknowledges nothing. A round that ends
 * half-way is taken up by the next one, on whatever VM.
 */
export class AppointmentRound {
  /** Resolves once nobody uses the primary of an earlier term. */
  private stopped: Promise<void> = Promise.resolve();

  private constructor(
    private readonly database: string,
    private readonly term: number,
    private readonly cause: RoundCause,
    private readonly options: RoundOptions,
  ) {}

  /** Makes a round; `true` if the group has a primary now. */
  static async run(
    group: DatabaseGroup,
    cause: RoundCause,
    options: RoundOptions,
  ): Promise<boolean> {
    const {database, holder} = group;
    const opens = group.primary !== undefined;
    const term = opens ? group.term + 1 : Math.max(1, group.term);
    const round = new AppointmentRound(database, term, cause, options);
    round.note('appointing a primary', {cause, former: group.primary, holder});
    if ((opens || group.term === 0) && !(await round.open(group))) return false;
    if (holder !== undefined) round.stopped = round.stopHolder(holder);
    const current = round.group();
    if (current === undefined) return false;
    if (current.promoting !== undefined) return round.finish(current);
    return round.choose(current, group.primary);
  }

  /** Opens the term in the log: no lease of an earlier one is prolonged. */
  private async open({term}: DatabaseGroup): Promise<boolean> {
    const {log, timer} = this.options;
    const answer = await log.propose({
      kind: 'beginTerm',
      database: this.database,
      expectedTerm: term,
      term: this.term,
      reason: this.cause,
      at: timer.wallClock(),
    });
    const accepted = answer.toMaybe().extract()?.kind === 'accepted';
    if (!accepted) this.note('the term was not opened', {});
    return accepted;
  }

  /** Resolves once the former holder uses no earlier term's primary. */
  private async stopHolder(holder: string): Promise<void> {
    const {database, term, cause} = this;
    const planned = cause === 'planned' || cause === 'holderLost';
    const stop = HolderStop.of({database, term, holder, planned}, this.options);
    const waited = await stop.run();
    this.note('nobody uses the old primary', {holder, waited});
  }

  /** Keeps the primary that there is, or promotes another member. */
  private async choose(
    group: DatabaseGroup,
    former: string | undefined,
  ): Promise<boolean> {
    const {panel, log} = this.options;
    const present = presentMembers(group);
    // A primary that was found lost would only hold the others up.
    const asked =
      this.cause === 'primaryLost'
        ? present.filter(({name}) => name !== former)
        : present;
    const known = await panel.reports(asked);
    const leading = leaderAmong(known);
    const mayStay = this.cause === 'noPrimary' || this.cause === 'holderLost';
    if (leading !== undefined && mayStay && isActive(leading)) {
      return this.appoint(leading.member);
    }
    if (!isSynchronous(log.state.current.view, group)) await this.stopped;
    if (leading !== undefined && this.cause !== 'primaryLost') {
      await this.stopped;
      const successor = await this.successorOf(group, leading);
      if (successor !== undefined) return this.promote(group, successor, known);
    }
    return this.replaceLost(group, known);
  }

  /** A member that stays and holds all that the leaving primary holds. */
  private async successorOf(
    group: DatabaseGroup,
    leading: KnownMember,
  ): Promise<KnownMember | undefined> {
    const {panel, timer} = this.options;
    const deadline = timer.now() + CATCH_UP_MILLISECONDS;
    const candidates = presentMembers(group).filter(
      ({name, state}) => state === 'active' && name !== leading.member.name,
    );
    // Nobody writes any more: what the primary holds now is all there will be.
    const last = await panel.report(leading.member);
    const target = last.toMaybe().extract()?.received;
    if (target === undefined) return undefined;
    for (;;) {
      const known = await panel.reports(candidates);
      const best = longestLog(known);
      const caughtUp =
        best !== undefined &&
        comparePositions(best.report.received, target) >= 0;
      if (caughtUp) return best;
      if (timer.now() >= deadline) return undefined;
      await timer.sleep(CATCH_UP_POLL_MILLISECONDS);
    }
  }

  /**
   * Fences all replicas but one and promotes the best of them. A primary that
   * answers is not made a replica for that: it may hold commits that no other
   * member here holds, and could not be promoted again. Where too few others
   * can be fenced it goes on.
   */
  private async replaceLost(
    group: DatabaseGroup,
    known: readonly KnownMember[],
  ): Promise<boolean> {
    const {panel} = this.options;
    const replicas = known.filter(({report}) => report.role !== 'primary');
    const fenced = await panel.fence(
      replicas.map(({member}) => member),
      highestTerm(known) + 1,
    );
    const needed = fencedNeeded(group);
    const successor = longestLog(fenced);
    if (fenced.length >= needed && successor !== undefined) {
      return this.promote(group, successor, known);
    }
    this.note('too few members can be fenced', {
      fenced: fenced.map(({member}) => member.name).join(' '),
      needed,
    });
    await this.releaseAll(fenced);
    const leading = leaderAmong(known);
    return leading === undefined ? false : this.appoint(leading.member);
  }

  private async promote(
    group: DatabaseGroup,
    {member, report}: KnownMember,
    known: readonly KnownMember[],
  ): Promise<boolean> {
    const {log, timer} = this.options;
    const {database, term} = this;
    const answer = await log.propose({
      kind: 'orderPromotion',
      database,
      term,
      member: member.name,
      at: timer.wallClock(),
    });
    if (answer.toMaybe().extract()?.kind !== 'accepted') return false;
    this.note('ordering a promotion', {
      member: member.name,
      received: `${report.received.term}.${report.received.number}`,
      answered: known.map(each => each.member.name).join(' '),
    });
    return this.finish({...group, promoting: member.name});
  }

  /** Orders the promotion that the log names, and sees it take effect. */
  private async finish(group: DatabaseGroup): Promise<boolean> {
    const {timer, panel} = this.options;
    const member = findMember(group, group.promoting ?? '');
    if (member === undefined) return false;
    const deadline = timer.now() + PROMOTION_LIMIT_MILLISECONDS;
    let ordered = false;
    while (timer.now() < deadline) {
      const order: OrderOutcome = ordered
        ? 'accepted'
        : await this.order(member);
      // What does not run can't come to lead by an order of before.
      if (order === 'notRunning') break;
      ordered = order === 'accepted';
      const report = await panel.report(member);
      if (report.toMaybe().extract()?.role === 'primary') {
        void this.cleanUp(group, member, report.unsafeCoerce().term);
        return this.appoint(member);
      }
      await timer.sleep(
        ordered
          ? PROMOTION_POLL_MILLISECONDS
          : PROMOTION_CALL_RETRY_MILLISECONDS,
      );
    }
    this.note('the promotion did not take effect', {member: member.name});
    return this.abandonPromotion(group);
  }

  /** Tries another member in a new term, as the promoted one is lost too. */
  private async abandonPromotion(group: DatabaseGroup): Promise<boolean> {
    const {panel} = this.options;
    const known = await panel.reports(presentMembers(group));
    const usable = known.filter(({member}) => member.name !== group.promoting);
    return this.replaceLost(group, usable);
  }

  private async order(member: Member): Promise<OrderOutcome> {
    const {log, promotions, publicName} = this.options;
    const fencingToken = log.leadingTerm;
    // A leader that is in doubt of itself gives no orders.
    const leads = await log.confirmLeading();
    if (!leads || fencingToken === undefined) return 'notAccepted';
    const answer = await promotions.promote(this.database, member.name, {
      holder: publicName,
      fencingToken,
    });
    return answer.caseOf({
      Left: ({kind}) => {
        const {name} = member;
        this.note('the promotion was not accepted', {
          member: name,
          failure: kind,
        });
        return kind === 'notRunning' ? kind : 'notAccepted';
      },
      Right: () => 'accepted',
    });
  }

  private async appoint(primary: Member): Promise<boolean> {
    const {log, timer} = this.options;
    const {database, term} = this;
    await this.stopped;
    const holder = this.holderFor(primary);
    if (holder === undefined) {
      this.note('no entry VM can use the primary', {primary: primary.name});
      return false;
    }
    const answer = await log.propose({
      kind: 'setPrimary',
      database,
      term,
      primary: primary.name,
      holder,
      at: timer.wallClock(),
    });
    const accepted = answer.toMaybe().extract()?.kind === 'accepted';
    this.note(accepted ? 'a primary was appointed' : 'overtaken', {
      primary: primary.name,
      holder,
    });
    return accepted;
  }

  /** An entry VM in the primary's data centre, if there is one. */
  private holderFor({name, dataCentre}: Member): string | undefined {
    const [first] = ownerRanking(
      name,
      dataCentre,
      this.options.holders(),
      CANDIDATE_HOLDERS,
    );
    return first?.name;
  }

  /** The others receive again, and none of them leads any more. */
  private async cleanUp(
    group: DatabaseGroup,
    primary: Member,
    term: number,
  ): Promise<void> {
    const {panel, timer} = this.options;
    let left = presentMembers(group).filter(({name}) => name !== primary.name);
    for (let attempt = 0; attempt < CLEAN_UP_ATTEMPTS; attempt++) {
      const current = this.group();
      if (current?.primary !== undefined && current.primary !== primary.name) {
        return;
      }
      const known = await panel.reports(left);
      for (const {member, report} of known) {
        const done =
          report.role === 'primary'
            ? await panel.stepDown(member, term)
            : await panel.release(member);
        if (done.isRight()) left = left.filter(each => each !== member);
      }
      if (left.length === 0) return;
      await timer.sleep(CLEAN_UP_RETRY_MILLISECONDS);
    }
    this.note('members were not reached after a promotion', {
      members: left.map(({name}) => name).join(' '),
    });
  }

  private async releaseAll(fenced: readonly KnownMember[]): Promise<void> {
    const {panel} = this.options;
    await Promise.all(fenced.map(({member}) => panel.release(member)));
  }

  private group(): DatabaseGroup | undefined {
    const group = findGroup(this.options.log.state.current.view, this.database);
    return group?.term === this.term ? group : undefined;
  }

  private note(
    message: string,
    fields: Readonly<Record<string, string | number | undefined>>,
  ): void {
    const {database, term} = this;
    this.options.logger.info(message, {database, term, ...fields});
  }
}

function isActive({member}: KnownMember): boolean {
  return member.state === 'active';
}
