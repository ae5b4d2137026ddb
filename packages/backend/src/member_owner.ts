import {GroupWatch} from '@apricotlock/group';
import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {Member} from '@apricotlock/topology';
import {ConnectionMonitor} from './connection_monitor.js';
import {ConnectionPool, OpenConnection} from './connection_pool.js';
import {LeaseAdmission} from './lease_admission.js';
import {
  LeaseOwnerMessage,
  LeaseRequest,
  LeaseClientMessage,
} from './lease_messages.js';
import {LeaseServer} from './lease_server.js';
import {OwnerLimits, subtractHoldings} from './owner_limits.js';
import {Holding} from './ownership_messages.js';
import {WorkScheduler} from './work_scheduler.js';

/** Options of {@link MemberOwner}. */
export interface MemberOwnerOptions {
  readonly member: Member;
  readonly watch: GroupWatch;
  readonly limits: OwnerLimits;
  readonly openConnection: OpenConnection;
  readonly timer: TimerService;
  /**
   * Returns whether this process may rely on still being the owner. Nothing new
   * is started while it returns `false`.
   */
  readonly isOwnershipCurrent: () => boolean;
}

/** Keeps the connections of one member and leases them to sessions. */
export class MemberOwner {
  private readonly pool: ConnectionPool;
  private readonly scheduler: WorkScheduler;
  private readonly admission: LeaseAdmission;
  private readonly monitor: ConnectionMonitor;
  private limits: OwnerLimits;
  private heldByOthers: readonly Holding[] | undefined;

  private constructor(private readonly options: MemberOwnerOptions) {
    const {member, watch, limits, openConnection, timer, isOwnershipCurrent} =
      options;
    this.limits = limits;
    this.pool = ConnectionPool.create(openConnection, timer);
    const {pool} = this;
    // Former owners may hold the whole capacity until their holdings are known.
    const noCapacity = {entries: limits.entries, connections: 0, slots: 0};
    this.scheduler = WorkScheduler.create({
      pool,
      limits: noCapacity,
      timer,
      isOwnershipCurrent,
    });
    this.admission = LeaseAdmission.create(member.name, watch);
    this.monitor = ConnectionMonitor.start(pool, timer, () =>
      this.isMemberLost(),
    );
  }

  /**
   * Starts owning a member. Leases start only after
   * {@link MemberOwner.setHeldByOthers}.
   */
  static start(options: MemberOwnerOptions): MemberOwner {
    return new MemberOwner(options);
  }

  /** Applies new limits from the catalogue. */
  setLimits(limits: OwnerLimits): void {
    this.limits = limits;
    this.applyLimits();
  }

  /**
   * Subtracts what former owners still hold from the limits. No lease starts
   * while the argument is `undefined`, that is, while the holdings are unknown.
   */
  setHeldByOthers(held: readonly Holding[] | undefined): void {
    this.heldByOthers = held;
    this.applyLimits();
  }

  /** The owned member. */
  get member(): Member {
    return this.options.member;
  }

  /** Connections and leases that this owner has at the member now. */
  get holding(): Holding {
    return {
      connections: this.pool.openCount,
      leases: this.scheduler.leases,
    };
  }

  /** Sets the number of connections that are kept open in advance. */
  keepWarm(count: number): void {
    this.pool.keepWarm(count);
  }

  /** Serves one connection lease. Resolves once it has ended. */
  async serve(
    request: LeaseRequest,
    channel: PeerChannel<LeaseOwnerMessage, LeaseClientMessage>,
  ): Promise<void> {
    const {scheduler, admission, monitor} = this;
    const {watch, timer} = this.options;
    await LeaseServer.serve(request, channel, {
      scheduler,
      admission,
      monitor,
      watch,
      timer,
    });
  }

  /**
   * Stops starting leases and closes idle connections. Leased connections are
   * closed when their leases end.
   */
  relinquish(): void {
    this.scheduler.close();
    this.pool.close();
  }

  /** Stops all activity; call it once no connections or leases remain. */
  stop(): void {
    this.relinquish();
    this.monitor.stop();
  }

  private applyLimits(): void {
    const held = this.heldByOthers;
    this.scheduler.setPaused(held === undefined);
    if (held === undefined) return;
    this.scheduler.setLimits(subtractHoldings(this.limits, held));
  }

  /**
   * Returns whether the member is unreachable, or its term is before the
   * group's, for example because it was replaced as the primary.
   */
  private isMemberLost(): boolean {
    const {watch, member} = this.options;
    const observation = watch.observation(member.name);
    const term = observation?.status?.term ?? 0;
    return observation?.failure !== undefined || term < watch.group.term;
  }
}
