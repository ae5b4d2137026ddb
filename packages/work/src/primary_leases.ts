import {TimerService} from '@apricotlock/timer';
import {
  ClockReading,
  longestElapsedMilliseconds,
  readClocks,
} from './clock_reading.js';
import {GroupTerm} from './lease_messages.js';

interface Lease {
  readonly term: number;
  readonly start: ClockReading;
  readonly milliseconds: number;
}

/**
 * The primary leases of this VM. A lease starts at the time of its renewal
 * request, so that it expires here before it expires for the control leader.
 * While a VM is suspended, its monotonic clock may stand still although its
 * wall clock advances. A lease therefore expires as soon as either clock says
 * so.
 */
export class PrimaryLeases {
  private readonly leases = new Map<string, Lease>();
  /** By database, the term before which all leases are revoked. */
  private readonly revokedBefore = new Map<string, number>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates a store without leases. */
  static create(timer: TimerService): PrimaryLeases {
    return new PrimaryLeases(timer);
  }

  /**
   * Returns the current time for {@link recordRenewal}. Must be called before
   * the renewal request is sent.
   */
  startRenewal(): ClockReading {
    return readClocks(this.timer);
  }

  /**
   * Records a granted lease, which started at the time of its request. Ignores
   * revoked terms and answers that are older than the recorded lease.
   */
  recordRenewal(
    {database, term}: GroupTerm,
    start: ClockReading,
    milliseconds: number,
  ): void {
    if (term < (this.revokedBefore.get(database) ?? 0)) return;
    const known = this.leases.get(database);
    const isOutdated =
      known !== undefined &&
      (known.term > term ||
        (known.term === term && known.start.monotonicAt >= start.monotonicAt));
    if (!isOutdated) this.leases.set(database, {term, start, milliseconds});
  }

  /**
   * Revokes the leases of all terms before `term` permanently. Answers to
   * earlier renewal requests that arrive later do not restore them.
   */
  revokeBefore(database: string, term: number): void {
    this.revokedBefore.set(
      database,
      Math.max(this.revokedBefore.get(database) ?? 0, term),
    );
    const known = this.leases.get(database);
    if (known !== undefined && known.term < term) this.leases.delete(database);
  }

  /** Returns whether this VM holds the lease of the primary of a term. */
  holds(database: string, term: number): boolean {
    return this.remainingMilliseconds(database, term) > 0;
  }

  /**
   * Returns the remaining time of the lease of a term, in milliseconds; 0 if
   * this VM does not hold it.
   */
  remainingMilliseconds(database: string, term: number): number {
    const lease = this.leases.get(database);
    if (lease === undefined || lease.term !== term) return 0;
    const {start, milliseconds} = lease;
    const elapsed = longestElapsedMilliseconds(this.timer, start);
    return Math.max(0, milliseconds - elapsed);
  }
}
