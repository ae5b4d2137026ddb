import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {ClusterView} from '@apricotlock/topology';
import {LeaderClient} from './leader_client.js';
import {GroupTerm, RENEW_LEASES} from './lease_messages.js';
import {PrimaryLeases} from './primary_leases.js';

const RENEW_PERIOD_MILLISECONDS = 200;
const RENEW_TIMEOUT_MILLISECONDS = 700;
/** A lease that is nearly over is renewed at this pace. */
const URGENT_PERIOD_MILLISECONDS = 100;
const URGENT_LEFT_MILLISECONDS = 600;

/** What renewing leases needs. */
export interface LeaseRenewerOptions {
  readonly self: string;
  readonly view: Observable<ClusterView>;
  readonly leases: PrimaryLeases;
  readonly leader: LeaderClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** A lease was granted or prolonged. */
  readonly renewed: (database: string, term: number) => void;
}

/** The task that keeps the leases of this VM from running out. */
export class LeaseRenewer {
  private lastAt = -Infinity;
  private readonly stops: readonly Unsubscribe[];
  /** Groups without a lease although the view names this VM. */
  private missing: ReadonlySet<string> = new Set();

  private constructor(private readonly options: LeaseRenewerOptions) {
    const {view, timer} = options;
    this.stops = [
      view.subscribe(() => {
        if (this.lacksLease()) void this.renew();
      }),
      timer.every(URGENT_PERIOD_MILLISECONDS, () => this.tick()),
    ];
  }

  /** Starts the task. */
  static start(options: LeaseRenewerOptions): LeaseRenewer {
    return new LeaseRenewer(options);
  }

  /** Ends the task. */
  stop(): void {
    for (const stop of this.stops) stop();
  }

  private tick(): void {
    const {timer, leases} = this.options;
    const due = timer.now() - this.lastAt >= RENEW_PERIOD_MILLISECONDS;
    const urgent = this.groups().some(
      ({database, term}) =>
        leases.leftMilliseconds(database, term) < URGENT_LEFT_MILLISECONDS,
    );
    if (due || urgent) void this.renew();
  }

  private lacksLease(): boolean {
    const {leases} = this.options;
    return this.groups().some(
      ({database, term}) => !leases.holds(database, term),
    );
  }

  /** Groups whose primary this VM is named to use. */
  private groups(): readonly GroupTerm[] {
    const {view, self} = this.options;
    return view.current.groups
      .filter(({primary, holder}) => primary !== undefined && holder === self)
      .map(({database, term}) => ({database, term}));
  }

  private async renew(): Promise<void> {
    const {leases, leader, self, timer, renewed, logger} = this.options;
    const groups = this.groups();
    this.lastAt = timer.now();
    if (groups.length === 0) return;
    const start = leases.startRenewal();
    const answer = await leader.call(
      RENEW_LEASES,
      {holder: self, groups},
      RENEW_TIMEOUT_MILLISECONDS,
    );
    answer.ifRight(({granted, leaseMilliseconds}) => {
      for (const group of granted) {
        leases.renewed(group, start, leaseMilliseconds);
        if (leases.holds(group.database, group.term)) {
          renewed(group.database, group.term);
        }
      }
    });
    this.noteMissing(groups, logger);
  }

  private noteMissing(groups: readonly GroupTerm[], logger: Logger): void {
    const {leases} = this.options;
    const missing = new Set(
      groups
        .filter(({database, term}) => !leases.holds(database, term))
        .map(({database}) => database),
    );
    for (const database of missing) {
      if (!this.missing.has(database)) {
        logger.warn('no lease to use a primary', {database});
      }
    }
    for (const database of this.missing) {
      if (!missing.has(database)) logger.info('a lease is back', {database});
    }
    this.missing = missing;
  }
}
