import {GroupWatch} from '@apricotlock/group';
import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {Member} from '@apricotlock/topology';
import {ConnectionPool, OpenConnection} from './connection_pool.js';
import {LeaseAdmission} from './lease_admission.js';
import {LeaseDown, LeaseRequest, LeaseUp} from './lease_messages.js';
import {LeaseServer} from './lease_server.js';
import {OwnerLimits} from './owner_limits.js';
import {WorkScheduler} from './work_scheduler.js';

/** What the owner of a member needs. */
export interface MemberOwnerOptions {
  readonly member: Member;
  readonly watch: GroupWatch;
  readonly limits: OwnerLimits;
  readonly open: OpenConnection;
  readonly timer: TimerService;
}

/** Holds the connections of one member and lends them out. */
export class MemberOwner {
  private readonly pool: ConnectionPool;
  private readonly scheduler: WorkScheduler;
  private readonly admission: LeaseAdmission;

  private constructor(private readonly options: MemberOwnerOptions) {
    const {member, watch, limits, open, timer} = options;
    this.pool = ConnectionPool.create(open, timer);
    const {pool} = this;
    this.scheduler = WorkScheduler.create({pool, limits, timer});
    this.admission = LeaseAdmission.of(member.name, watch);
  }

  /** Begins to own a member. */
  static start(options: MemberOwnerOptions): MemberOwner {
    return new MemberOwner(options);
  }

  /** Takes over new limits from the catalogue. */
  setLimits(limits: OwnerLimits): void {
    this.scheduler.setLimits(limits);
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
    const {scheduler, admission} = this;
    const {watch, timer} = this.options;
    await LeaseServer.serve(request, channel, {
      scheduler,
      admission,
      watch,
      timer,
    });
  }

  /** Gives up the member: what is idle is closed, what is lent goes later. */
  stop(): void {
    this.scheduler.close();
    this.pool.close();
  }
}
