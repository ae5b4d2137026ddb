import {Either, Left, Right} from 'purify-ts';
import {ControlLog} from '@apricotlock/control';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {DatabaseGroup, findGroup, findMember} from '@apricotlock/topology';
import {GroupTerm, RENEW_LEASES} from '@apricotlock/work';
import {DrainDeadlines} from './drain_deadlines.js';
import {HolderSilence} from './holder_silence.js';
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
  private holderSilence: HolderSilence;
  private leadingTerm: number | undefined;
  private leadingSince = 0;

  private constructor(private readonly options: LeaseGrantorOptions) {
    this.holderSilence = HolderSilence.start(options.timer);
  }

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

  /** The silence of the lease holders since this VM leads. */
  get silence(): HolderSilence {
    return this.holderSilence;
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
    const {view} = this.options.log.state.current;
    for (const {database, term} of groups) {
      if (!isLeaseHolder(findGroup(view, database), holder, term)) continue;
      this.holderSilence.recordRequest(database);
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
    this.holderSilence = HolderSilence.start(timer);
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
