import {GroupWatch} from '@apricotlock/group';
import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {Member} from '@apricotlock/topology';
import {ConnectionKeeper} from './connection_keeper.js';
import {ConnectionPool, OpenConnection} from './connection_pool.js';
import {LeaseAdmission} from './lease_admission.js';
import {LeaseDown, LeaseRequest, LeaseUp} from './lease_messages.js';
import {LeaseServer} from './lease_server.js';
import {OwnerLimits, withoutHeld} from './owner_limits.js';
import {Holding} from './ownership_messages.js';
import {WorkScheduler} from './work_scheduler.js';

/** What the owner of a member needs. */
export interface MemberOwnerOptions {
  readonly member: Member;
  readonly watch: GroupWatch;
  readonly limits: OwnerLimits;
  readonly open: OpenConnection;
  readonly timer: TimerService;
  /** Whether this process may still count on being the owner. */
  readonly current: () => boolean;
}

/** Holds the connections of one member and lends them out. */
export class MemberOwner {
  private readonly pool: ConnectionPool;
  private readonly scheduler: WorkScheduler;
  private readonly admission: LeaseAdmission;
  private readonly keeper: ConnectionKeeper;
  private limits: OwnerLimits;
  private heldByOthers: readonly Holding[] | undefined;

  private constructor(private readonly options: MemberOwnerOptions) {
    const {member, watch, limits, open, timer, current} = options;
    this.limits = limits;
    this.pool = ConnectionPool.create(open, timer);
    const {pool} = this;
    // Until it is known what former owners hold, all may be theirs.
    const none = {entries: limits.entries, connections: 0, slots: 0};
    this.scheduler = WorkScheduler.create({
      pool,
      limits: none,
      timer,
      current,
    });
    this.admission = LeaseAdmission.of(member.name, watch, timer);
    this.keeper = ConnectionKeeper.start(pool, timer, () => this.memberGone());
  }

  /** Begins to own a member. */
  static start(options: MemberOwnerOptions): MemberOwner {
    return new MemberOwner(options);
  }

  /** Takes over new limits from the catalogue. */
  setLimits(limits: OwnerLimits): void {
    this.limits = limits;
    this.applyLimits();
  }

  /**
   * Leaves to former owners what they still hold; `undefined` begins nothing
   * until that is known.
   */
  setHeldByOthers(held: readonly Holding[] | undefined): void {
    this.heldByOthers = held;
    this.applyLimits();
  }

  /** The member that it owns. */
  get member(): Member {
    return this.options.member;
  }

  /** What it has of the member now. */
  get holding(): Holding {
    return {
      connections: this.pool.openCount,
      leases: this.scheduler.leases,
    };
  }

  /** Keeps connections open ahead of need. */
  keepWarm(count: number): void {
    this.pool.keepWarm(count);
  }

  /** Serves one lease until it ends. */
  async serve(
    request: LeaseRequest,
    channel: PeerChannel<LeaseDown, LeaseUp>,
  ): Promise<void> {
    const {scheduler, admission, keeper} = this;
    const {watch, timer} = this.options;
    await LeaseServer.serve(request, channel, {
      scheduler,
      admission,
      keeper,
      watch,
      timer,
    });
  }

  /** Gives up the member: what is idle is closed, what is lent goes later. */
  leave(): void {
    this.scheduler.close();
    this.pool.close();
  }

  /** Ends all tasks; to be called once nothing is held any more. */
  stop(): void {
    this.leave();
    this.keeper.stop();
  }

  private applyLimits(): void {
    const held = this.heldByOthers;
    this.scheduler.setPaused(held === undefined);
    if (held === undefined) return;
    this.scheduler.setLimits(withoutHeld(this.limits, held));
  }

  /** Whether the member is cut off, or has been replaced as the primary. */
  private memberGone(): boolean {
    const {watch, member} = this.options;
    const observation = watch.observation(member.name);
    const term = observation?.status?.term ?? 0;
    return observation?.failure !== undefined || term < watch.group.term;
  }
}
