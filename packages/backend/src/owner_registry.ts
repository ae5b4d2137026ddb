import {GroupWatch} from '@apricotlock/group';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {MemberClient} from '@apricotlock/member';
import {PeerChannel, PeerNetwork} from '@apricotlock/peer';
import {Left, Right} from 'purify-ts';
import {TimerService} from '@apricotlock/timer';
import {
  ClusterView,
  DatabaseGroup,
  Member,
  ownerOf,
  ownerRanking,
  VirtualMachine,
  votingMembers,
} from '@apricotlock/topology';
import {openBackendConnection} from '@apricotlock/wire';
import {
  GROUP_POSITION,
  GroupPosition,
  LEASE_CONNECTION,
  LeaseOwnerMessage,
  LeaseRequest,
  LeaseClientMessage,
} from './lease_messages.js';
import {RecentlyLostMachines} from './recently_lost_machines.js';
import {MemberOwner} from './member_owner.js';
import {computeOwnerLimits, OwnerLimits} from './owner_limits.js';
import {MEMBER_IDLE_LIMIT_MILLISECONDS} from './member_idle_limit.js';
import {OwnershipClaims} from './ownership_claims.js';
import {
  CLAIM_OWNERSHIP,
  ClaimAnswer,
  Holding,
  OwnershipClaim,
} from './ownership_messages.js';

const MAXIMUM_MESSAGE_BYTES = 16 << 20;
const WARM_CONNECTIONS = 4;
/**
 * How long a VM that has just started and knows no other VM waits before it
 * owns members.
 */
const START_GRACE_MILLISECONDS = 1_000;
/**
 * How long this VM does not own a member that it relinquished to a claimant.
 * The claimant may not be in this VM's membership yet.
 */
const YIELD_MILLISECONDS = 2_000;
/**
 * After the process has been stalled for longer than this, other VMs may have
 * taken over its members.
 */
const STALL_THRESHOLD_MILLISECONDS = 1_000;
const SWEEP_INTERVAL_MILLISECONDS = 25;
/**
 * How many top-ranked VMs may have owned a member recently, the owner included.
 */
const MAXIMUM_CLAIM_CANDIDATES = 4;

/** Dependencies of {@link OwnerRegistry}. */
export interface OwnerRegistryOptions {
  readonly self: string;
  readonly view: Observable<ClusterView>;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly client: MemberClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** The user as which connections to members are opened. */
  readonly memberUser: string;
  readonly memberPassword: string | undefined;
}

interface OwnedMember {
  readonly owner: MemberOwner;
  readonly claims: OwnershipClaims;
}

/**
 * Keeps track of the members that this entry VM owns, as cluster view and
 * membership change.
 */
export class OwnerRegistry {
  /**
   * Watches of the groups in which this entry VM owns a member or still has
   * leases.
   */
  readonly groups = Observable.of<readonly GroupWatch[]>([]);
  private readonly owned = new Map<string, OwnedMember>();
  /** Owners that start no new leases and wait for theirs to end. */
  private drainingOwners: ReadonlyArray<{
    readonly member: Member;
    readonly owner: MemberOwner;
  }> = [];
  /**
   * Members that were relinquished to a claimant, with the time until which
   * this VM does not own them again.
   */
  private readonly yieldedUntil = new Map<string, number>();
  private readonly watches = new Map<string, GroupWatch>();
  private readonly recentlyLost: RecentlyLostMachines;
  private readonly startedAt: number;
  private lastSweepAt: number;

  private constructor(private readonly options: OwnerRegistryOptions) {
    const {machines, timer} = options;
    this.recentlyLost = RecentlyLostMachines.watch(machines, timer);
    this.startedAt = timer.now();
    this.lastSweepAt = this.startedAt;
  }

  /** Starts owning the members that rendezvous hashing assigns to this VM. */
  static start(options: OwnerRegistryOptions): OwnerRegistry {
    const registry = new OwnerRegistry(options);
    const {network, timer} = options;
    network.handleConversation(LEASE_CONNECTION, (request, channel) =>
      registry.serve(request, channel),
    );
    network.handle(GROUP_POSITION, async request => {
      const position = await registry.position(request.database, request.term);
      return position === undefined
        ? Left('group position is not known on this VM')
        : Right(position);
    });
    network.handle(CLAIM_OWNERSHIP, async claim =>
      Right(registry.answerClaim(claim)),
    );
    options.view.subscribe(() => registry.update());
    options.machines.subscribe(() => registry.update());
    timer.once(START_GRACE_MILLISECONDS, () => registry.update());
    timer.every(SWEEP_INTERVAL_MILLISECONDS, () => registry.sweep());
    registry.update();
    return registry;
  }

  /**
   * Serves a connection lease on a member that this entry VM owns; refuses it
   * for other members.
   */
  async serve(
    request: LeaseRequest,
    channel: PeerChannel<LeaseOwnerMessage, LeaseClientMessage>,
  ): Promise<void> {
    const owned = this.owned.get(request.member);
    if (owned !== undefined) return owned.owner.serve(request, channel);
    channel.send({kind: 'refused', refusal: {kind: 'notOwner'}});
  }

  /**
   * Resolves to a group's current log position in `term`, or to `undefined` if
   * it cannot be determined on this VM.
   */
  async position(
    database: string,
    term: number,
  ): Promise<GroupPosition | undefined> {
    const position = await this.watches.get(database)?.primaryPosition(term);
    return position === undefined ? undefined : {term, position};
  }

  /**
   * Waits until relinquished members have no connections and leases left;
   * `false` if the timeout passes first.
   */
  async waitUntilDrained(timeoutMilliseconds: number): Promise<boolean> {
    const {timer} = this.options;
    const deadline = timer.now() + timeoutMilliseconds;
    while (this.drainingOwners.length > 0) {
      if (timer.now() >= deadline) return false;
      await timer.sleep(SWEEP_INTERVAL_MILLISECONDS);
    }
    return true;
  }

  /** Stops all owners, claims and watches. */
  stop(): void {
    for (const {owner, claims} of this.owned.values()) {
      claims.stop();
      owner.stop();
    }
    for (const {owner} of this.drainingOwners) owner.stop();
    for (const watch of this.watches.values()) watch.stop();
  }

  private update(): void {
    const owned = new Set<string>();
    for (const group of this.options.view.current.groups) {
      for (const member of votingMembers(group)) {
        if (!this.shouldOwn(member)) continue;
        owned.add(member.name);
        this.updateOwned(member, this.watchGroup(group));
      }
    }
    for (const name of [...this.owned.keys()]) {
      if (!owned.has(name)) this.relinquish(name);
    }
    this.stopUnusedWatches();
    this.groups.set([...this.watches.values()]);
  }

  private shouldOwn(member: Member): boolean {
    const {machines, self, timer} = this.options;
    const now = timer.now();
    const alone = machines.current.length <= 1;
    if (alone && now - this.startedAt < START_GRACE_MILLISECONDS) return false;
    if ((this.yieldedUntil.get(member.name) ?? -Infinity) > now) return false;
    const owner = ownerOf(member.name, member.dataCentre, machines.current);
    return owner?.name === self;
  }

  private updateOwned(member: Member, watch: GroupWatch): void {
    const owned =
      this.owned.get(member.name) ?? this.startOwning(member, watch);
    owned.owner.setLimits(this.computeLimits(member));
    owned.claims.update(this.findFormerOwners(member));
    this.refreshHeldByOthers(member.name);
  }

  private startOwning(member: Member, watch: GroupWatch): OwnedMember {
    const {timer, logger, network, self, machines} = this.options;
    logger.info('started owning a member', {member: member.name});
    const owner = MemberOwner.start({
      member,
      watch,
      limits: this.computeLimits(member),
      timer,
      openConnection: abort => this.openConnection(member, abort),
      isOwnershipCurrent: () => !this.isStalled,
    });
    owner.keepWarm(WARM_CONNECTIONS);
    const ownMachine = machines.current.find(({name}) => name === self);
    const claims = OwnershipClaims.create({
      claim: {
        member: member.name,
        claimant: self,
        dataCentre: ownMachine?.dataCentre ?? '',
      },
      network,
      timer,
      onChange: () => this.refreshHeldByOthers(member.name),
    });
    const owned = {owner, claims};
    this.owned.set(member.name, owned);
    return owned;
  }

  /**
   * Returns the VMs that may still own the member according to their own view.
   */
  private findFormerOwners(member: Member): readonly VirtualMachine[] {
    const {machines, self} = this.options;
    const known = [...machines.current, ...this.recentlyLost.current];
    const all = known.map(each => ({...each, state: 'serving' as const}));
    const sameDataCentre = ownerRanking(
      member.name,
      member.dataCentre,
      all,
      MAXIMUM_CLAIM_CANDIDATES,
    );
    // If its data centre had no VM, the member was owned by a VM in another
    // one.
    const anyDataCentre = ownerRanking(
      member.name,
      '',
      all,
      MAXIMUM_CLAIM_CANDIDATES,
    );
    const otherDataCentres = anyDataCentre.filter(
      machine => !sameDataCentre.includes(machine),
    );
    return [...sameDataCentre, ...otherDataCentres].filter(
      ({name}) => name !== self,
    );
  }

  /**
   * Passes on to the member's owner what other VMs, and former owners on this
   * VM, still hold.
   */
  private refreshHeldByOthers(name: string): void {
    const owned = this.owned.get(name);
    const heldByOthers = owned?.claims.heldByOthers;
    owned?.owner.setHeldByOthers(
      heldByOthers && [...heldByOthers, ...this.findDrainingHoldings(name)],
    );
  }

  /** Returns what draining owners on this VM still hold of a member. */
  private findDrainingHoldings(name: string): readonly Holding[] {
    return this.drainingOwners
      .filter(({member}) => member.name === name)
      .map(({owner}) => owner.holding);
  }

  private answerClaim(claim: OwnershipClaim): ClaimAnswer {
    if (this.owned.has(claim.member)) {
      if (!this.isOutrankedBy(claim)) return {kind: 'kept'};
      const until = this.options.timer.now() + YIELD_MILLISECONDS;
      this.yieldedUntil.set(claim.member, until);
      this.relinquish(claim.member);
    }
    const [holding] = this.findDrainingHoldings(claim.member);
    return holding === undefined ? {kind: 'free'} : {kind: 'holding', holding};
  }

  /** Returns whether the claimant ranks higher than this VM for the member. */
  private isOutrankedBy({
    member,
    claimant,
    dataCentre,
  }: OwnershipClaim): boolean {
    const {machines, self, view} = this.options;
    const ownMachine = machines.current.find(({name}) => name === self);
    if (ownMachine === undefined) return true;
    const other = {
      ...ownMachine,
      name: claimant,
      dataCentre,
      state: 'serving',
    } as const;
    const claimedMember = view.current.groups
      .flatMap(group => group.members)
      .find(({name}) => name === member);
    const owner = ownerOf(member, claimedMember?.dataCentre ?? '', [
      ownMachine,
      other,
    ]);
    return owner?.name === claimant;
  }

  private relinquish(name: string): void {
    const owned = this.owned.get(name);
    if (owned === undefined) return;
    this.options.logger.info('stopped owning a member, draining its leases', {
      member: name,
    });
    this.owned.delete(name);
    owned.claims.stop();
    owned.owner.relinquish();
    const {owner} = owned;
    this.drainingOwners = [
      ...this.drainingOwners,
      {member: owner.member, owner},
    ];
  }

  private get isStalled(): boolean {
    const sinceSweepMilliseconds = this.options.timer.now() - this.lastSweepAt;
    return sinceSweepMilliseconds > STALL_THRESHOLD_MILLISECONDS;
  }

  /**
   * Claims all owned members again after a stall, during which other VMs may
   * have taken them over.
   */
  private restartClaims(): void {
    for (const [name, {claims, owner}] of this.owned) {
      claims.restart(this.findFormerOwners(owner.member));
      this.refreshHeldByOthers(name);
    }
  }

  /**
   * Restarts claims after a stall, ends expired yields, and removes draining
   * owners that hold nothing.
   */
  private sweep(): void {
    const now = this.options.timer.now();
    const stalled = this.isStalled;
    // Claims must be pending again before any lease may start.
    if (stalled) this.restartClaims();
    this.lastSweepAt = now;
    for (const [name, until] of this.yieldedUntil) {
      if (until > now) continue;
      this.yieldedUntil.delete(name);
      this.update();
    }
    if (this.drainingOwners.length === 0) return;
    const names = this.drainingOwners.map(({member}) => member.name);
    const drained = this.drainingOwners.filter(({owner}) =>
      isEmpty(owner.holding),
    );
    for (const {owner} of drained) owner.stop();
    this.drainingOwners = this.drainingOwners.filter(
      each => !drained.includes(each),
    );
    for (const name of names) this.refreshHeldByOthers(name);
    if (drained.length > 0) this.stopUnusedWatches();
  }

  private watchGroup(group: DatabaseGroup): GroupWatch {
    const known = this.watches.get(group.database);
    if (known !== undefined) {
      if (known.group !== group) known.update(group);
      return known;
    }
    const {client, timer} = this.options;
    const watch = GroupWatch.start(group, client, timer);
    this.watches.set(group.database, watch);
    return watch;
  }

  private openConnection(member: Member, abort: AbortSignal) {
    const {memberUser, memberPassword, self} = this.options;
    return openBackendConnection({
      ...member.address,
      user: memberUser,
      password: memberPassword,
      database: member.database,
      applicationName: `apricotlock ${self}`,
      maximumMessageBytes: MAXIMUM_MESSAGE_BYTES,
      abort,
      settings: {
        idle_session_timeout: String(MEMBER_IDLE_LIMIT_MILLISECONDS),
        idle_in_transaction_session_timeout: String(
          MEMBER_IDLE_LIMIT_MILLISECONDS,
        ),
      },
    });
  }

  private computeLimits(member: Member): OwnerLimits {
    const {entries} = this.options.view.current.catalogue;
    const memberEntries = entries.filter(
      ({database}) => database === member.database,
    );
    return computeOwnerLimits(memberEntries, member.capacity);
  }

  /**
   * Stops watches of groups without an owned member. Transactions that are
   * still open on a draining owner need their group's watch.
   */
  private stopUnusedWatches(): void {
    for (const [database, watch] of this.watches) {
      const {members} = watch.group;
      const isNeeded =
        members.some(({name}) => this.owned.has(name)) ||
        this.drainingOwners.some(({member}) => member.database === database);
      if (isNeeded) continue;
      watch.stop();
      this.watches.delete(database);
    }
  }
}

function isEmpty({connections, leases}: Holding): boolean {
  return connections === 0 && Object.keys(leases).length === 0;
}
