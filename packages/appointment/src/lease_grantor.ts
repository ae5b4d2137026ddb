import {Either, Left, Right} from 'purify-ts';
import {ControlLog} from '@apricotlock/control';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {DatabaseGroup, findGroup, findMember} from '@apricotlock/topology';
import {GroupTerm, RENEW_LEASES} from '@apricotlock/work';
import {DrainDeadlines} from './drain_deadlines.js';
import {LEASE_MILLISECONDS} from './lease_duration.js';

/** Maximum relative difference in rate between the steady clocks of two VMs. */
const CLOCK_RATE_ERROR = 0.02;

/** Dependencies of the lease grantor. */
export interface LeaseGrantorOptions {
  readonly log: ControlLog;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly deadlines: DrainDeadlines;
}

interface LeaseAnswer {
  readonly granted: GroupTerm[];
  readonly leaseMilliseconds: number;
}

/**
 * Grants primary leases to entry VMs, on the control leader. Before each grant
 * a quorum confirms that this VM still leads, so a leader that has been
 * replaced grants no more leases. A new leader therefore knows that all leases
 * of its predecessors have run out one lease duration after it took over.
 */
export class LeaseGrantor {
  private readonly grantedAt = new Map<string, number>();
  /** When the lease holder of a group last requested a renewal. */
  private readonly requestedAt = new Map<string, number>();
  /** Until when silence does not count, because this VM was held up. */
  private silenceExcusedUntil = -Infinity;
  /** When this VM first saw a primary in each term of each group. */
  private readonly termFirstSeenAt = new Map<string, number>();
  private leadingTerm: number | undefined;
  private leadingSince = 0;

  private constructor(private readonly options: LeaseGrantorOptions) {}

  /** Starts handling renewal requests of entry VMs. */
  static start(options: LeaseGrantorOptions): LeaseGrantor {
    const grantor = new LeaseGrantor(options);
    const {network, log} = options;
    log.leading.subscribe(() => grantor.resetOnLeadershipChange());
    grantor.resetOnLeadershipChange();
    network.handle(RENEW_LEASES, async ({holder, groups}) =>
      grantor.renew(holder, groups),
    );
    return grantor;
  }

  /**
   * Returns for how many milliseconds the lease holder of a group has not
   * requested a renewal, counted at most from when its term was first seen.
   */
  silentMilliseconds({database, term}: GroupTerm): number {
    const key = `${database} ${term}`;
    const {timer} = this.options;
    // A term that is seen for the first time counts as just begun.
    const since = this.termFirstSeenAt.get(key) ?? timer.now();
    this.termFirstSeenAt.set(key, since);
    // A request counts when it arrives: its grant may wait for a quorum.
    const lastRequestAt = this.requestedAt.get(database) ?? -Infinity;
    const lastSignAt = Math.max(
      since,
      lastRequestAt,
      this.leadingSince,
      this.silenceExcusedUntil,
    );
    return timer.now() - lastSignAt;
  }

  /**
   * Counts the silence of lease holders only from now on. To be called when this
   * VM was held up, as it could not read their requests.
   */
  excuseSilence(): void {
    this.silenceExcusedUntil = this.options.timer.now();
  }

  /**
   * Returns for how many milliseconds some VM may still hold a lease of an
   * earlier term of a group.
   */
  remainingLeaseMilliseconds(database: string): number {
    const maximumMilliseconds = LEASE_MILLISECONDS * (1 + CLOCK_RATE_ERROR);
    return Math.max(
      0,
      maximumMilliseconds - this.sinceLastGrantMilliseconds(database),
    );
  }

  private sinceLastGrantMilliseconds(database: string): number {
    const lastGrantAt = this.grantedAt.get(database) ?? -Infinity;
    return this.options.timer.now() - Math.max(lastGrantAt, this.leadingSince);
  }

  private async renew(
    holder: string,
    groups: readonly GroupTerm[],
  ): Promise<Either<string, LeaseAnswer>> {
    const {log, timer} = this.options;
    this.recordRequest(holder, groups);
    if (!(await log.confirmLeading())) return Left('not leading');
    const {view} = log.state.current;
    const granted = groups.filter(({database, term}) => {
      const group = findGroup(view, database);
      return isLeaseHolder(group, holder, term) && this.mayBeUsed(group);
    });
    for (const {database} of granted) {
      this.grantedAt.set(database, timer.now());
    }
    return Right({granted, leaseMilliseconds: LEASE_MILLISECONDS});
  }

  private recordRequest(holder: string, groups: readonly GroupTerm[]): void {
    const {log, timer} = this.options;
    const {view} = log.state.current;
    for (const {database, term} of groups) {
      if (!isLeaseHolder(findGroup(view, database), holder, term)) continue;
      this.requestedAt.set(database, timer.now());
    }
  }

  /** Returns whether the primary of a group is not past its drain deadline. */
  private mayBeUsed(group: DatabaseGroup): boolean {
    const primary = findMember(group, group.primary ?? '');
    return primary !== undefined && this.options.deadlines.allowsLease(primary);
  }

  /**
   * Resets all times when this VM takes over or gives up the lead. Earlier
   * leaders may have granted leases that this VM does not know of.
   */
  private resetOnLeadershipChange(): void {
    const {log, timer} = this.options;
    const term = log.leadingTerm;
    if (term === this.leadingTerm) return;
    this.leadingTerm = term;
    this.leadingSince = timer.now();
    this.grantedAt.clear();
    this.requestedAt.clear();
    this.termFirstSeenAt.clear();
  }
}

function isLeaseHolder(
  group: DatabaseGroup | undefined,
  holder: string,
  term: number,
): group is DatabaseGroup {
  if (group?.primary === undefined) return false;
  return group.holder === holder && group.term === term;
}
