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
  LEASE,
  LeaseDown,
  LeaseRequest,
  LeaseUp,
} from './lease_messages.js';
import {OverloadMemory} from './overload_memory.js';
import {OwnerRegistry} from './owner_registry.js';

const POSITION_TIMEOUT_MILLISECONDS = 700;

/** A conversation with a member's owner about one lease. */
export type LeaseConversation = PeerChannel<LeaseUp, LeaseDown>;

/** The way from a caller's session to backend servers. */
export abstract class BackendGate {
  /** Asks the member's owner for a connection. */
  abstract lease(request: LeaseRequest): LeaseConversation;

  /** Where a group stands now; `Left` if its primary cannot be asked. */
  abstract position(
    database: string,
  ): Promise<Either<'unavailable', GroupPosition>>;
}

/** Leases from owners on this and on other entry VMs. */
export class OwnerBackendGate extends BackendGate {
  /** Owners by member, as `ownersOf` gives them. */
  private readonly owners = new Map<string, VirtualMachine>();
  private ownersOf: readonly VirtualMachine[] = [];

  private constructor(
    private readonly self: string,
    private readonly view: Observable<ClusterView>,
    private readonly machines: Observable<readonly VirtualMachine[]>,
    private readonly network: PeerNetwork,
    private readonly registry: OwnerRegistry,
    private readonly overloads: OverloadMemory,
  ) {
    super();
  }

  /** The gate of the entry VM `self`. */
  static create(
    self: string,
    view: Observable<ClusterView>,
    machines: Observable<readonly VirtualMachine[]>,
    network: PeerNetwork,
    registry: OwnerRegistry,
    timer: TimerService,
  ): OwnerBackendGate {
    const overloads = OverloadMemory.create(timer);
    return new OwnerBackendGate(
      self,
      view,
      machines,
      network,
      registry,
      overloads,
    );
  }

  override lease(request: LeaseRequest): LeaseConversation {
    const retryAfterMilliseconds = this.overloads.retryAfter(request);
    if (retryAfterMilliseconds === undefined) {
      return this.overloads.watch(request, this.ask(request));
    }
    const pair = createChannelPair<LeaseUp, LeaseDown>();
    const refusal = {kind: 'overloaded', retryAfterMilliseconds} as const;
    pair.called.send({kind: 'refused', refusal});
    return pair.caller;
  }

  private ask(request: LeaseRequest): LeaseConversation {
    const owner = this.ownerOf(request.database, request.member);
    if (owner !== undefined && owner.name !== this.self) {
      return this.network.converse(owner.peerAddress, LEASE, request);
    }
    const pair = createChannelPair<LeaseUp, LeaseDown>();
    void this.registry
      .serve(request, pair.called)
      .finally(() => pair.called.end());
    return pair.caller;
  }

  override async position(
    database: string,
  ): Promise<Either<'unavailable', GroupPosition>> {
    const group = findGroup(this.view.current, database);
    if (group?.primary === undefined) return Left('unavailable');
    const {term} = group;
    const owner = this.ownerOf(database, group.primary);
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

  private ownerOf(
    database: string,
    memberName: string,
  ): VirtualMachine | undefined {
    const member = this.memberOf(database, memberName);
    if (member === undefined) return undefined;
    return this.rememberedOwner(member);
  }

  /** Hashing all VMs for each statement would cost more than the routing. */
  private rememberedOwner(member: Member): VirtualMachine | undefined {
    const machines = this.machines.current;
    if (this.ownersOf !== machines) {
      this.ownersOf = machines;
      this.owners.clear();
    }
    const key = `${member.dataCentre}/${member.name}`;
    const known = this.owners.get(key);
    if (known !== undefined) return known;
    const owner = ownerOf(member.name, member.dataCentre, machines);
    if (owner !== undefined) this.owners.set(key, owner);
    return owner;
  }

  private memberOf(database: string, memberName: string): Member | undefined {
    const group = findGroup(this.view.current, database);
    return group && findMember(group, memberName);
  }
}
