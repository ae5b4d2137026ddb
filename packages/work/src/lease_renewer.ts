import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {ClusterView} from '@apricotlock/topology';
import {ControlLeaderClient} from './control_leader_client.js';
import {GroupTerm, RENEW_LEASES} from './lease_messages.js';
import {PrimaryLeases} from './primary_leases.js';

/** Leases are renewed at this interval. */
const RENEWAL_INTERVAL_MILLISECONDS = 200;
const RENEWAL_TIMEOUT_MILLISECONDS = 700;
/**
 * Leases are renewed at this shorter interval while at least one of them has
 * less than {@link URGENT_REMAINING_MILLISECONDS} left. It is also the interval
 * at which the task checks whether a renewal is due.
 */
const URGENT_RENEWAL_INTERVAL_MILLISECONDS = 100;
const URGENT_REMAINING_MILLISECONDS = 600;

/** The primary of a term of which this VM was assigned as lease holder. */
export interface AssignedPrimary extends GroupTerm {
  readonly primary: string;
}

/** Options of the lease renewal task. */
export interface LeaseRenewerOptions {
  readonly self: string;
  readonly view: Observable<ClusterView>;
  readonly leases: PrimaryLeases;
  readonly leader: ControlLeaderClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Called when a lease was granted or extended. */
  readonly onRenewed: (assigned: AssignedPrimary) => void;
}

/** A task that renews the primary leases of this VM before they expire. */
export class LeaseRenewer {
  private lastRenewalAt = -Infinity;
  private readonly unsubscribers: readonly Unsubscribe[];
  /** Databases for which this VM is the lease holder but has no valid lease. */
  private databasesWithoutLease: ReadonlySet<string> = new Set();

  private constructor(private readonly options: LeaseRenewerOptions) {
    const {view, timer} = options;
    this.unsubscribers = [
      view.subscribe(() => {
        if (this.lacksLease()) void this.renew();
      }),
      timer.every(URGENT_RENEWAL_INTERVAL_MILLISECONDS, () =>
        this.renewIfDue(),
      ),
    ];
  }

  /** Starts the renewal task. */
  static start(options: LeaseRenewerOptions): LeaseRenewer {
    return new LeaseRenewer(options);
  }

  /** Stops the renewal task; existing leases stay valid until they expire. */
  stop(): void {
    for (const unsubscribe of this.unsubscribers) unsubscribe();
  }

  private renewIfDue(): void {
    const {timer, leases} = this.options;
    const isDue =
      timer.now() - this.lastRenewalAt >= RENEWAL_INTERVAL_MILLISECONDS;
    const isUrgent = this.assignedGroups().some(
      ({database, term}) =>
        leases.remainingMilliseconds(database, term) <
        URGENT_REMAINING_MILLISECONDS,
    );
    if (isDue || isUrgent) void this.renew();
  }

  private lacksLease(): boolean {
    const {leases} = this.options;
    return this.assignedGroups().some(
      ({database, term}) => !leases.holds(database, term),
    );
  }

  /** Returns the groups with a primary of which this VM is the lease holder. */
  private assignedGroups(): readonly AssignedPrimary[] {
    const {view, self} = this.options;
    return view.current.groups.flatMap(({database, term, primary, holder}) =>
      primary !== undefined && holder === self
        ? [{database, term, primary}]
        : [],
    );
  }

  private async renew(): Promise<void> {
    const {leases, leader, self, timer, onRenewed, logger} = this.options;
    const groups = this.assignedGroups();
    this.lastRenewalAt = timer.now();
    if (groups.length === 0) return;
    const start = leases.startRenewal();
    const answer = await leader.call(
      RENEW_LEASES,
      {
        holder: self,
        groups: groups.map(({database, term}) => ({database, term})),
      },
      RENEWAL_TIMEOUT_MILLISECONDS,
    );
    answer.ifRight(({granted, leaseMilliseconds}) => {
      for (const {database, term} of granted) {
        leases.recordRenewal({database, term}, start, leaseMilliseconds);
        const assigned = groups.find(
          group => group.database === database && group.term === term,
        );
        if (assigned !== undefined && leases.holds(database, term)) {
          onRenewed(assigned);
        }
      }
    });
    this.logLeaseChanges(groups, logger);
  }

  private logLeaseChanges(groups: readonly GroupTerm[], logger: Logger): void {
    const {leases} = this.options;
    const missing = new Set(
      groups
        .filter(({database, term}) => !leases.holds(database, term))
        .map(({database}) => database),
    );
    for (const database of missing) {
      if (!this.databasesWithoutLease.has(database)) {
        logger.warn('primary lease not granted or expired', {database});
      }
    }
    for (const database of this.databasesWithoutLease) {
      if (!missing.has(database)) logger.info('lease regained', {database});
    }
    this.databasesWithoutLease = missing;
  }
}
