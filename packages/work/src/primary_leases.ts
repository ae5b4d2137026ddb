import {TimerService} from '@apricotlock/timer';
import {GroupTerm} from './lease_messages.js';

/** When a renewal was asked for, on both clocks. */
export interface RenewalStart {
  readonly steadyAt: number;
  readonly wallAt: number;
}

interface Lease {
  readonly term: number;
  readonly start: RenewalStart;
  readonly milliseconds: number;
}

/**
 * The leases by which this VM may use primaries. A lease counts from when its
 * renewal was asked for, so that it is over here before the grantor believes
 * it over. A VM that is suspended finds its steady clock unchanged and its
 * time of day run on: whichever clock says that the lease is over is believed.
 */
export class PrimaryLeases {
  private readonly leases = new Map<string, Lease>();
  /** By database, the term before which every lease is void. */
  private readonly stopped = new Map<string, number>();

  private constructor(private readonly timer: TimerService) {}

  /** No leases yet. */
  static create(timer: TimerService): PrimaryLeases {
    return new PrimaryLeases(timer);
  }

  /** To be kept from just before a renewal is asked for. */
  startRenewal(): RenewalStart {
    return {steadyAt: this.timer.now(), wallAt: this.timer.wallClock()};
  }

  /** Takes over a lease that was granted. */
  renewed(
    {database, term}: GroupTerm,
    start: RenewalStart,
    milliseconds: number,
  ): void {
    if (term < (this.stopped.get(database) ?? 0)) return;
    const known = this.leases.get(database);
    const older =
      known !== undefined &&
      (known.term > term ||
        (known.term === term && known.start.steadyAt >= start.steadyAt));
    if (!older) this.leases.set(database, {term, start, milliseconds});
  }

  /** Every term before this one is over for good, whatever arrives later. */
  stop(database: string, term: number): void {
    this.stopped.set(database, Math.max(this.stopped.get(database) ?? 0, term));
    const known = this.leases.get(database);
    if (known !== undefined && known.term < term) this.leases.delete(database);
  }

  /** Whether the primary of this term may be used now. */
  holds(database: string, term: number): boolean {
    return this.leftMilliseconds(database, term) > 0;
  }

  /** How much longer the primary of this term may be used. */
  leftMilliseconds(database: string, term: number): number {
    const lease = this.leases.get(database);
    if (lease === undefined || lease.term !== term) return 0;
    const {start, milliseconds} = lease;
    const elapsed = Math.max(
      this.timer.now() - start.steadyAt,
      this.timer.wallClock() - start.wallAt,
    );
    return Math.max(0, milliseconds - elapsed);
  }
}
