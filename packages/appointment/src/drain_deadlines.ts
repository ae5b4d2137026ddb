import {ControlLog} from '@apricotlock/control';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, EMPTY_VIEW, Member} from '@apricotlock/topology';
import {DrainingMembers} from '@apricotlock/work';
import {LEASE_MILLISECONDS} from './lease_duration.js';

/** Time for a statement that was sent under a lease to reach its member. */
const DELIVERY_MILLISECONDS = 1_000;

/** Dependencies of the drain deadlines. */
export interface DrainDeadlinesOptions {
  readonly log: ControlLog;
  readonly timer: TimerService;
  /**
   * The time after the acknowledgement of a member's announcement by which no
   * new work may reach it, in milliseconds.
   */
  readonly drainMilliseconds: number;
}

/**
 * Decides on the control leader until when a draining member may be used as a
 * primary. The announcement is acknowledged after the leader has applied it, so
 * the leader's own measurement is never too short; a suspension of the leader
 * counts too. A new leader can't know how
 * long ago its predecessors applied one, and allows no use of members that were
 * draining when it took over.
 */
export class DrainDeadlines {
  private readonly draining: DrainingMembers;
  /** The term in which the measurements were made; `undefined` if not leading. */
  private leadingTerm: number | undefined;
  /** The view that was measured last; an unchanged one is not searched again. */
  private measured: ClusterView = EMPTY_VIEW;

  private constructor(private readonly options: DrainDeadlinesOptions) {
    this.draining = DrainingMembers.create(options.timer);
  }

  /** Starts to measure for how long members have been draining. */
  static start(options: DrainDeadlinesOptions): DrainDeadlines {
    const deadlines = new DrainDeadlines(options);
    deadlines.update();
    options.log.state.subscribe(() => deadlines.update());
    return deadlines;
  }

  /** Returns whether a lease of this member as a primary may be granted now. */
  allowsLease(member: Member): boolean {
    this.update();
    const milliseconds = this.draining.drainingMilliseconds(member);
    if (milliseconds === undefined) return member.state !== 'removed';
    const {drainMilliseconds} = this.options;
    const reserved = LEASE_MILLISECONDS + DELIVERY_MILLISECONDS;
    return milliseconds < drainMilliseconds - reserved;
  }

  private update(): void {
    const {log} = this.options;
    const {view} = log.state.current;
    const {leadingTerm} = log;
    const hasTakenOver = leadingTerm !== this.leadingTerm;
    if (!hasTakenOver && view === this.measured) return;
    this.leadingTerm = leadingTerm;
    this.measured = view;
    if (hasTakenOver) this.draining.updateWithUnknownTimes(view);
    else this.draining.update(view);
  }
}
