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
  LEASE,
  LeaseDown,
  LeaseRequest,
  LeaseUp,
} from './lease_messages.js';
import {FormerMachines} from './former_machines.js';
import {MemberOwner} from './member_owner.js';
import {ownerLimits, OwnerLimits} from './owner_limits.js';
import {MEMBER_IDLE_LIMIT_MILLISECONDS} from './member_lease.js';
import {OwnershipClaims} from './ownership_claims.js';
import {
  CLAIM_OWNERSHIP,
  ClaimAnswer,
  Holding,
  OwnershipClaim,
} from './ownership_messages.js';

const MAXIMUM_MESSAGE_BYTES = 16 << 20;
const WARM_CONNECTIONS = 4;
/** How long a VM that knows no other waits to hear of one. */
const START_GRACE_MILLISECONDS = 1_000;
/** How long a member is left to a claimant that this VM does not know yet. */
const YIELD_MILLISECONDS = 2_000;
/** A process that stood still for longer may have been replaced meanwhile. */
const STALL_LIMIT_MILLISECONDS = 1_000;
const SWEEP_PERIOD_MILLISECONDS = 25;
/** The VMs that may have owned a member just before, the owner included. */
const CLAIM_CANDIDATES = 4;

/** What the registry needs. */
export interface OwnerRegistryOptions {
  readonly self: string;
  readonly view: Observable<ClusterView>;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly client: MemberClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** As whom connections to members are opened. */
  readonly memberUser: string;
  readonly memberPassword: string | undefined;
}

interface OwnedMember {
  readonly owner: MemberOwner;
  readonly claims: OwnershipClaims;
}

/** The members that this entry VM owns, as views and membership change. */
export class OwnerRegistry {
  /** The groups of which this entry VM owns a member. */
  readonly groups = Observable.of<readonly GroupWatch[]>([]);
  private readonly owned = new Map<string, OwnedMember>();
  /** Owners that begin nothing new, and wait for their leases to end. */
  private leaving: ReadonlyArray<{
    readonly member: Member;
    readonly owner: MemberOwner;
  }> = [];
  /** Members that were left to a claimant, and until when. */
  private readonly yielded = new Map<string, number>();
  private readonly watches = new Map<string, GroupWatch>();
  private readonly former: FormerMachines;
  private readonly startedAt: number;
  private sweptAt: number;

  private constructor(private readonly options: OwnerRegistryOptions) {
    const {machines, timer} = options;
    this.former = FormerMachines.watch(machines, timer);
    this.startedAt = timer.now();
    this.sweptAt = this.startedAt;
  }

  /** Begins to own what rendezvous hashing gives this entry VM. */
  static start(options: OwnerRegistryOptions): OwnerRegistry {
    const registry = new OwnerRegistry(options);
    const {network, timer} = options;
    network.handleConversation(LEASE, (request, channel) =>
      registry.serve(request, channel),
    );
    network.handle(GROUP_POSITION, async request => {
      const position = await registry.position(request.database, request.term);
      return position === undefined ? Left('not known here') : Right(position);
    });
    network.handle(CLAIM_OWNERSHIP, async claim =>
      Right(registry.answerClaim(claim)),
    );
    options.view.subscribe(() => registry.update());
    options.machines.subscribe(() => registry.update());
    timer.once(START_GRACE_MILLISECONDS, () => registry.update());
    timer.every(SWEEP_PERIOD_MILLISECONDS, () => registry.sweep());
    registry.update();
    return registry;
  }

  /** Serves a lease of a member that this entry VM owns. */
  async serve(
    request: LeaseRequest,
    channel: PeerChannel<LeaseDown, LeaseUp>,
  ): Promise<void> {
    const owned = this.owned.get(request.member);
    if (owned !== undefined) return owned.owner.serve(request, channel);
    channel.send({kind: 'refused', refusal: {kind: 'notOwner'}});
  }

  /** Where a group stands in `term`, if it can be told here. */
  async position(
    database: string,
    term: number,
  ): Promise<GroupPosition | undefined> {
    const position = await this.watches.get(database)?.primaryPosition(term);
    return position === undefined ? undefined : {term, position};
  }

  /** Waits until nothing is lent any more; `false` when time is up. */
  async drained(timeoutMilliseconds: number): Promise<boolean> {
    const {timer} = this.options;
    const deadline = timer.now() + timeoutMilliseconds;
    while (this.leaving.length > 0) {
      if (timer.now() >= deadline) return false;
      await timer.sleep(SWEEP_PERIOD_MILLISECONDS);
    }
    return true;
  }

  /** Gives everything up. */
  stop(): void {
    for (const {owner, claims} of this.owned.values()) {
      claims.stop();
      owner.stop();
    }
    for (const {owner} of this.leaving) owner.stop();
    for (const watch of this.watches.values()) watch.stop();
  }

  private update(): void {
    const owned = new Set<string>();
    for (const group of this.options.view.current.groups) {
      for (const member of votingMembers(group)) {
        if (!this.isMine(member)) continue;
        owned.add(member.name);
        this.own(member, this.watchOf(group));
      }
    }
    for (const name of [...this.owned.keys()]) {
      if (!owned.has(name)) this.leave(name);
    }
    this.dropWatches();
    this.groups.set([...this.watches.values()]);
  }

  private isMine(member: Member): boolean {
    const {machines, self, timer} = this.options;
    const now = timer.now();
    const alone = machines.current.length <= 1;
    if (alone && now - this.startedAt < START_GRACE_MILLISECONDS) return false;
    if ((this.yielded.get(member.name) ?? -Infinity) > now) return false;
    const owner = ownerOf(member.name, member.dataCentre, machines.current);
    return owner?.name === self;
  }

  private own(member: Member, watch: GroupWatch): void {
    const known = this.owned.get(member.name) ?? this.begin(member, watch);
    known.owner.setLimits(this.limitsOf(member));
    known.claims.update(this.formerOwners(member));
    this.refresh(member.name);
  }

  private begin(member: Member, watch: GroupWatch): OwnedMember {
    const {timer, logger, network, self, machines} = this.options;
    logger.info('owning a member', {member: member.name});
    const owner = MemberOwner.start({
      member,
      watch,
      limits: this.limitsOf(member),
      timer,
      open: abort => this.open(member, abort),
      current: () => !this.stalled,
    });
    owner.keepWarm(WARM_CONNECTIONS);
    const me = machines.current.find(({name}) => name === self);
    const claims = OwnershipClaims.create({
      claim: {
        member: member.name,
        claimant: self,
        dataCentre: me?.dataCentre ?? '',
      },
      network,
      timer,
      changed: () => this.refresh(member.name),
    });
    const owned = {owner, claims};
    this.owned.set(member.name, owned);
    return owned;
  }

  /** Those that may still own the member in their own view. */
  private formerOwners(member: Member): readonly VirtualMachine[] {
    const {machines, self} = this.options;
    const known = [...machines.current, ...this.former.current];
    const all = known.map(each => ({...each, state: 'serving' as const}));
    const near = ownerRanking(
      member.name,
      member.dataCentre,
      all,
      CLAIM_CANDIDATES,
    );
    // Without a VM in its data centre, the member belonged to one elsewhere.
    const any = ownerRanking(member.name, '', all, CLAIM_CANDIDATES);
    const others = any.filter(machine => !near.includes(machine));
    return [...near, ...others].filter(({name}) => name !== self);
  }

  /** Lets the owner have what nobody else holds. */
  private refresh(name: string): void {
    const owned = this.owned.get(name);
    const elsewhere = owned?.claims.heldByOthers;
    owned?.owner.setHeldByOthers(
      elsewhere && [...elsewhere, ...this.heldFromBefore(name)],
    );
  }

  /** What this VM itself still holds from an earlier time as the owner. */
  private heldFromBefore(name: string): readonly Holding[] {
    return this.leaving
      .filter(({member}) => member.name === name)
      .map(({owner}) => owner.holding);
  }

  private answerClaim(claim: OwnershipClaim): ClaimAnswer {
    if (this.owned.has(claim.member)) {
      if (!this.ranksBefore(claim)) return {kind: 'kept'};
      const until = this.options.timer.now() + YIELD_MILLISECONDS;
      this.yielded.set(claim.member, until);
      this.leave(claim.member);
    }
    const [holding] = this.heldFromBefore(claim.member);
    return holding === undefined ? {kind: 'free'} : {kind: 'holding', holding};
  }

  /** Whether the claimant, and not this VM, would own the member. */
  private ranksBefore({member, claimant, dataCentre}: OwnershipClaim): boolean {
    const {machines, self, view} = this.options;
    const me = machines.current.find(({name}) => name === self);
    if (me === undefined) return true;
    const other = {
      ...me,
      name: claimant,
      dataCentre,
      state: 'serving',
    } as const;
    const found = view.current.groups
      .flatMap(group => group.members)
      .find(({name}) => name === member);
    const owner = ownerOf(member, found?.dataCentre ?? '', [me, other]);
    return owner?.name === claimant;
  }

  private leave(name: string): void {
    const owned = this.owned.get(name);
    if (owned === undefined) return;
    this.options.logger.info('giving up a member', {member: name});
    this.owned.delete(name);
    owned.claims.stop();
    owned.owner.leave();
    const {owner} = owned;
    this.leaving = [...this.leaving, {member: owner.member, owner}];
  }

  private get stalled(): boolean {
    const standstill = this.options.timer.now() - this.sweptAt;
    return standstill > STALL_LIMIT_MILLISECONDS;
  }

  /** After a standstill, others may have taken over: all is claimed anew. */
  private claimAnew(): void {
    for (const [name, {claims, owner}] of this.owned) {
      claims.restart(this.formerOwners(owner.member));
      this.refresh(name);
    }
  }

  /** Forgets owners that hold nothing any more, and ends what has run out. */
  private sweep(): void {
    const now = this.options.timer.now();
    const stalled = this.stalled;
    // The claims are unanswered before anything may begin again.
    if (stalled) this.claimAnew();
    this.sweptAt = now;
    for (const [name, until] of this.yielded) {
      if (until > now) continue;
      this.yielded.delete(name);
      this.update();
    }
    if (this.leaving.length === 0) return;
    const names = this.leaving.map(({member}) => member.name);
    const done = this.leaving.filter(({owner}) => isEmpty(owner.holding));
    for (const {owner} of done) owner.stop();
    this.leaving = this.leaving.filter(each => !done.includes(each));
    for (const name of names) this.refresh(name);
    if (done.length > 0) this.dropWatches();
  }

  private watchOf(group: DatabaseGroup): GroupWatch {
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

  private open(member: Member, abort: AbortSignal) {
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

  private limitsOf(member: Member): OwnerLimits {
    const {entries} = this.options.view.current.catalogue;
    const mine = entries.filter(({database}) => database === member.database);
    return ownerLimits(mine, member.capacity);
  }

  /** Transactions that are still open need their group's watch. */
  private dropWatches(): void {
    for (const [database, watch] of this.watches) {
      const {members} = watch.group;
      const needed =
        members.some(({name}) => this.owned.has(name)) ||
        this.leaving.some(({member}) => member.database === database);
      if (needed) continue;
      watch.stop();
      this.watches.delete(database);
    }
  }
}

function isEmpty({connections, leases}: Holding): boolean {
  return connections === 0 && Object.keys(leases).length === 0;
}
