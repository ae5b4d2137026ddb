import {Either, Left, Right} from 'purify-ts';
import {RandomSource, SingleNodeControlLog} from '@apricotlock/control';
import {ManualTimerService} from '@apricotlock/timer';
import {
  LEASE_MILLISECONDS,
  PromotionClient,
  PromotionError,
} from '../src/index.js';
import {
  entryMachine,
  groupIn,
  logWithGroup,
  reportMember,
} from './fake_control.js';
import {ControlSurroundings, FakeControlVm} from './fake_control_vm.js';
import {FakeGroup, FakeMember} from './fake_group.js';

const HOLDERS = ['entry-1', 'entry-2'];
const PROMOTION_MILLISECONDS = 1_000;
const RENEWAL_INTERVAL_MILLISECONDS = 200;
/** Later than any time of a process that has just started. */
const START_MILLISECONDS = 100_000;
/** By then no new work reaches a member that has announced to leave. */
const DRAIN_BOUND_MILLISECONDS = 7_000;
const LOG_LENGTH = 9;

/** Work could begin on a member too long after it had announced to leave. */
export interface LateUse {
  readonly member: string;
  /** The end of the lease, in milliseconds since the announcement. */
  readonly usableMilliseconds: number;
}

/**
 * Promotes members with a delay, if they are still running then. A member that
 * is cut off is promoted too, but other members don't follow it.
 */
class DelayedPromotions extends PromotionClient {
  /** Called when a promotion has been accepted. */
  onAccepted: (member: FakeMember) => void = () => undefined;

  constructor(
    private readonly group: FakeGroup,
    private readonly timer: ManualTimerService,
  ) {
    super();
  }

  override async promote(
    _database: string,
    name: string,
  ): Promise<Either<PromotionError, void>> {
    const member = this.group.members.find(each => each.name === name);
    if (member === undefined || !member.reachable) {
      return Left({kind: 'notRunning'});
    }
    this.timer.once(PROMOTION_MILLISECONDS, () => this.complete(member));
    this.onAccepted(member);
    return Right(undefined);
  }

  private complete(member: FakeMember): void {
    const {group} = this;
    if (!member.reachable || member.role === 'primary') return;
    const formerTerm = group.term;
    group.term += 1;
    for (const other of group.members) {
      other.fencedTerm = 0;
      if (other.role === 'primary' || member.cutOff) {
        other.formerTerm ??= formerTerm;
      }
      if (!other.reachable || other.cutOff || member.cutOff) continue;
      if (other.role === 'replica') other.formerTerm = undefined;
      other.role = 'replica';
      other.number = member.number;
    }
    member.formerTerm = undefined;
    member.role = 'primary';
  }
}

/** A lease was granted on a member that did not lead the latest term. */
export interface LeaseOnFormerPrimary {
  readonly member: string;
  readonly at: number;
}

/**
 * A group of members, its lease holder and the control VMs, on a virtual clock.
 * The first of the members is the primary. Records each lease that lasts too
 * long after the announcement of its member.
 */
export class DrainingScenario {
  readonly timer = ManualTimerService.create();
  readonly group = new FakeGroup();
  readonly lateUses: LateUse[] = [];
  readonly leasesOnFormerPrimaries: LeaseOnFormerPrimary[] = [];
  private readonly promotions = new DelayedPromotions(this.group, this.timer);
  private readonly announcedAt = new Map<string, number>();
  private readonly surroundings: ControlSurroundings;
  private leader: FakeControlVm | undefined;
  private leaderTerm = 0;

  private constructor(
    private readonly log: SingleNodeControlLog,
    names: readonly string[],
  ) {
    const {group, timer} = this;
    this.timer.advance(START_MILLISECONDS);
    for (const name of names) group.add(name, LOG_LENGTH);
    this.member(names[0] as string).role = 'primary';
    this.surroundings = {
      committed: log,
      group,
      promotions: this.promotions,
      entryMachines: HOLDERS.map(entryMachine),
      timer,
      drainMilliseconds: DRAIN_BOUND_MILLISECONDS,
      onRevoked: () => undefined,
    };
    // Like an entry VM: periodically, and at once after a change.
    timer.every(RENEWAL_INTERVAL_MILLISECONDS, () => void this.renewLease());
    log.state.subscribe(() => void this.renewLease());
  }

  /** Starts members, of which the first is the primary, and a control leader. */
  static async start(names: readonly string[]): Promise<DrainingScenario> {
    const [primary = ''] = names;
    const log = await logWithGroup(names, primary, HOLDERS[0] as string);
    const scenario = new DrainingScenario(log, names);
    scenario.changeLeader();
    return scenario;
  }

  /** The member that the control log names as the primary. */
  get primary(): string | undefined {
    return groupIn(this.log).primary;
  }

  member(name: string): FakeMember {
    const found = this.group.members.find(each => each.name === name);
    if (found === undefined) throw new Error(`no member ${name}`);
    return found;
  }

  /** The first moment at which the announcement may be acknowledged is now. */
  async announce(name: string): Promise<void> {
    if (!this.member(name).reachable || this.announcedAt.has(name)) return;
    this.announcedAt.set(name, this.timer.now());
    await reportMember(this.log, name, 'draining', 2);
  }

  /** Lets the leader apply a change, as it does often after it took over. */
  async reportAgain(name: string): Promise<void> {
    await reportMember(this.log, name, 'active', 1);
  }

  async join(name: string): Promise<void> {
    this.group.add(name, LOG_LENGTH);
    await reportMember(this.log, name, 'active', 1);
  }

  async leave(name: string): Promise<void> {
    this.member(name).reachable = false;
    await reportMember(this.log, name, 'removed', 3);
  }

  /** A member that comes back is the primary only if none was promoted. */
  crash(name: string, milliseconds: number): void {
    const member = this.member(name);
    member.reachable = false;
    this.timer.once(milliseconds, () => {
      member.reachable = true;
      if (member.formerTerm !== undefined) member.role = 'replica';
    });
  }

  /**
   * Cuts the next member whose promotion is accepted off, before the promotion
   * takes effect.
   */
  cutOffNextPromoted(delay: number, milliseconds: number): void {
    const {promotions, timer} = this;
    promotions.onAccepted = member => {
      promotions.onAccepted = () => undefined;
      timer.once(delay, () => (member.cutOff = true));
      timer.once(delay + milliseconds, () => this.rejoin(member));
    };
  }

  /** Makes all members follow the latest primary, which they can reach again. */
  private rejoin(member: FakeMember): void {
    member.cutOff = false;
    const {members} = this.group;
    const leader = members.find(
      ({role, formerTerm}) => role === 'primary' && formerTerm === undefined,
    );
    for (const other of members) {
      if (leader === undefined || other === leader || !other.reachable) {
        continue;
      }
      other.role = 'replica';
      other.formerTerm = undefined;
      other.number = leader.number;
    }
  }

  /** Replaces the control leader by a process that has just started. */
  changeLeader(): void {
    this.leader?.stepDown();
    this.leaderTerm += 1;
    this.leader = FakeControlVm.start(
      `control-${this.leaderTerm}`,
      this.surroundings,
    );
    this.leader.lead(this.leaderTerm);
  }

  /** Runs actions at random times, then goes on for `milliseconds`. */
  async runRandomly(seed: number, milliseconds: number): Promise<void> {
    const random = RandomSource.of(seed);
    const names = this.group.members.map(({name}) => name);
    const anyName = () =>
      names[Math.floor(random.nextBetween(0, names.length))] as string;
    const at = (low: number, high: number, action: () => void) =>
      this.timer.once(random.nextBetween(low, high), action);
    for (let count = random.nextBetween(1, 3); count > 0; count--) {
      const name = anyName();
      at(500, 3_000, () => void this.announce(name));
      at(9_500, 17_000, () => {
        if (this.announcedAt.has(name)) void this.leave(name);
      });
    }
    if (random.nextNumber() < 0.7) at(0, 4_000, () => void this.join('new'));
    for (let count = random.nextBetween(1, 6); count > 0; count--) {
      const name = anyName();
      const outage = random.nextBetween(300, 7_000);
      at(500, 14_000, () => this.crash(name, outage));
    }
    for (let count = random.nextBetween(0, 2); count > 1; count--) {
      at(500, 14_000, () => this.changeLeader());
    }
    await this.timer.advanceAsync(milliseconds);
  }

  private async renewLease(): Promise<void> {
    const {primary, holder, term} = groupIn(this.log);
    if (primary === undefined || holder === undefined) return;
    if (!this.member(primary).reachable) {
      await this.leader?.reportFailure(holder, term);
    }
    const requestedAt = this.timer.now();
    const granted = (await this.leader?.renew(holder, term)) ?? false;
    if (!granted) return;
    if (this.member(primary).formerTerm !== undefined) {
      const at = Math.round(requestedAt - START_MILLISECONDS);
      this.leasesOnFormerPrimaries.push({member: primary, at});
    }
    const announcedAt = this.announcedAt.get(primary);
    if (announcedAt === undefined) return;
    const usableMilliseconds = requestedAt + LEASE_MILLISECONDS - announcedAt;
    if (usableMilliseconds > DRAIN_BOUND_MILLISECONDS) {
      this.lateUses.push({member: primary, usableMilliseconds});
    }
  }
}
