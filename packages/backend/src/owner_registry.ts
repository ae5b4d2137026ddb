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
import {MemberOwner} from './member_owner.js';
import {ownerLimits, OwnerLimits} from './owner_limits.js';

const MAXIMUM_MESSAGE_BYTES = 16 << 20;
const WARM_CONNECTIONS = 4;

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

/** The members that this entry VM owns, as views and membership change. */
export class OwnerRegistry {
  /** The groups of which this entry VM owns a member. */
  readonly groups = Observable.of<readonly GroupWatch[]>([]);
  private readonly owners = new Map<string, MemberOwner>();
  private readonly watches = new Map<string, GroupWatch>();

  private constructor(private readonly options: OwnerRegistryOptions) {}

  /** Begins to own what rendezvous hashing gives this entry VM. */
  static start(options: OwnerRegistryOptions): OwnerRegistry {
    const registry = new OwnerRegistry(options);
    options.network.handleConversation(LEASE, (request, channel) =>
      registry.serve(request, channel),
    );
    options.network.handle(GROUP_POSITION, async request => {
      const position = await registry.position(request.database, request.term);
      return position === undefined ? Left('not known here') : Right(position);
    });
    options.view.subscribe(() => registry.update());
    options.machines.subscribe(() => registry.update());
    registry.update();
    return registry;
  }

  /** Serves a lease of a member that this entry VM owns. */
  async serve(
    request: LeaseRequest,
    channel: PeerChannel<LeaseDown, LeaseUp>,
  ): Promise<void> {
    const owner = this.owners.get(request.member);
    if (owner !== undefined) return owner.serve(request, channel);
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

  /** Gives everything up. */
  stop(): void {
    for (const owner of this.owners.values()) owner.stop();
    for (const watch of this.watches.values()) watch.stop();
  }

  private update(): void {
    const view = this.options.view.current;
    const machines = this.options.machines.current;
    const owned = new Set<string>();
    for (const group of view.groups) {
      const mine = votingMembers(group).filter(
        member =>
          ownerOf(member.name, member.dataCentre, machines)?.name ===
          this.options.self,
      );
      if (mine.length === 0) this.dropWatch(group.database);
      for (const member of mine) {
        owned.add(member.name);
        this.own(member, this.watchOf(group));
      }
    }
    this.dropOthers(owned);
    this.groups.set([...this.watches.values()]);
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

  private own(member: Member, watch: GroupWatch): void {
    const limits = this.limitsOf(member);
    const known = this.owners.get(member.name);
    if (known !== undefined) {
      known.setLimits(limits);
      return;
    }
    const {timer, logger} = this.options;
    logger.info('owning a member', {member: member.name});
    const owner = MemberOwner.start({
      member,
      watch,
      limits,
      timer,
      open: abort => this.open(member, abort),
    });
    owner.keepWarm(WARM_CONNECTIONS);
    this.owners.set(member.name, owner);
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
    });
  }

  private limitsOf(member: Member): OwnerLimits {
    const {entries} = this.options.view.current.catalogue;
    const mine = entries.filter(({database}) => database === member.database);
    return ownerLimits(mine, member.capacity);
  }

  private dropOthers(owned: ReadonlySet<string>): void {
    for (const [name, owner] of this.owners) {
      if (owned.has(name)) continue;
      this.options.logger.info('giving up a member', {member: name});
      owner.stop();
      this.owners.delete(name);
    }
  }

  private dropWatch(database: string): void {
    this.watches.get(database)?.stop();
    this.watches.delete(database);
  }
}
