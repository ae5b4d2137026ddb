import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {createChannelPair, PeerChannel, PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {
  ClusterView,
  findGroup,
  findMember,
  Member,
  ownerOf,
  VirtualMachine,
} from '@apricotlock/topology';
import {
  GROUP_POSITION,
  GroupPosition,
  LEASE_CONNECTION,
  LeaseOwnerMessage,
  LeaseRequest,
  LeaseClientMessage,
} from './lease_messages.js';
import {OverloadCache} from './overload_cache.js';
import {OwnerRegistry} from './owner_registry.js';

const POSITION_TIMEOUT_MILLISECONDS = 700;

/** Bidirectional stream to a member's owner for one connection lease. */
export type LeaseConversation = PeerChannel<
  LeaseClientMessage,
  LeaseOwnerMessage
>;

/** Gives callers' sessions access to backend servers. */
export abstract class LeaseClient {
  /** Requests a connection lease from the member's owner. */
  abstract lease(request: LeaseRequest): LeaseConversation;

  /**
   * Resolves to a group's current log position, or to `Left` if its primary
   * cannot be queried.
   */
  abstract position(
    database: string,
  ): Promise<Either<'unavailable', GroupPosition>>;
}

/** Requests connection leases from owners on this and on other entry VMs. */
export class OwnerLeaseClient extends LeaseClient {
  /** Owners by data centre and member, valid for `cachedForMachines`. */
  private readonly cachedOwners = new Map<string, VirtualMachine>();
  private cachedForMachines: readonly VirtualMachine[] = [];

  private constructor(
    private readonly self: string,
    private readonly view: Observable<ClusterView>,
    private readonly machines: Observable<readonly VirtualMachine[]>,
    private readonly network: PeerNetwork,
    private readonly registry: OwnerRegistry,
    private readonly overloadCache: OverloadCache,
  ) {
    super();
  }

  /** Creates the lease client of the entry VM named `self`. */
  static create(
    self: string,
    view: Observable<ClusterView>,
    machines: Observable<readonly VirtualMachine[]>,
    network: PeerNetwork,
    registry: OwnerRegistry,
    timer: TimerService,
  ): OwnerLeaseClient {
    const overloadCache = OverloadCache.create(timer);
    return new OwnerLeaseClient(
      self,
      view,
      machines,
      network,
      registry,
      overloadCache,
    );
  }

  override lease(request: LeaseRequest): LeaseConversation {
    const retryAfterMilliseconds = this.overloadCache.getRetryDelay(request);
    if (retryAfterMilliseconds === undefined) {
      return this.overloadCache.observe(
        request,
        this.openConversation(request),
      );
    }
    const pair = createChannelPair<LeaseClientMessage, LeaseOwnerMessage>();
    const refusal = {kind: 'overloaded', retryAfterMilliseconds} as const;
    pair.server.send({kind: 'refused', refusal});
    return pair.client;
  }

  private openConversation(request: LeaseRequest): LeaseConversation {
    const owner = this.resolveOwner(request.database, request.member);
    if (owner !== undefined && owner.name !== this.self) {
      return this.network.converse(
        owner.peerAddress,
        LEASE_CONNECTION,
        request,
      );
    }
    const pair = createChannelPair<LeaseClientMessage, LeaseOwnerMessage>();
    void this.registry
      .serve(request, pair.server)
      .finally(() => pair.server.end());
    return pair.client;
  }

  override async position(
    database: string,
  ): Promise<Either<'unavailable', GroupPosition>> {
    const group = findGroup(this.view.current, database);
    if (group?.primary === undefined) return Left('unavailable');
    const {term} = group;
    const owner = this.resolveOwner(database, group.primary);
    if (owner === undefined) return Left('unavailable');
    if (owner.name === this.self) {
      const position = await this.registry.position(database, term);
      return position === undefined ? Left('unavailable') : Right(position);
    }
    const answer = await this.network.call(
      owner.peerAddress,
      GROUP_POSITION,
      {database, term},
      POSITION_TIMEOUT_MILLISECONDS,
    );
    return answer.mapLeft(() => 'unavailable');
  }

  private resolveOwner(
    database: string,
    memberName: string,
  ): VirtualMachine | undefined {
    const member = this.resolveMember(database, memberName);
    if (member === undefined) return undefined;
    return this.findCachedOwner(member);
  }

  /**
   * Returns the member's owner from a cache that lasts until the list of VMs
   * changes. Ranking all VMs by hash for each statement would cost more than
   * routing the statement.
   */
  private findCachedOwner(member: Member): VirtualMachine | undefined {
    const machines = this.machines.current;
    if (this.cachedForMachines !== machines) {
      this.cachedForMachines = machines;
      this.cachedOwners.clear();
    }
    const key = `${member.dataCentre}/${member.name}`;
    const cached = this.cachedOwners.get(key);
    if (cached !== undefined) return cached;
    const owner = ownerOf(member.name, member.dataCentre, machines);
    if (owner !== undefined) this.cachedOwners.set(key, owner);
    return owner;
  }

  private resolveMember(
    database: string,
    memberName: string,
  ): Member | undefined {
    const group = findGroup(this.view.current, database);
    return group && findMember(group, memberName);
  }
}
