import {GroupWatch} from '@apricotlock/group';
import {Observable} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {findMember, VirtualMachine} from '@apricotlock/topology';
import {
  PrimarySuspicion,
  REPORT_SUSPECTED_PRIMARY,
} from './failover_messages.js';

/** Primaries are checked, and a failure reported again, at this interval. */
const REPORT_INTERVAL_MILLISECONDS = 100;
const CALL_TIMEOUT_MILLISECONDS = 500;

/** Options of {@link FailureReporter}. */
export interface FailureReporterOptions {
  /** The name of this VM. */
  readonly self: string;
  readonly groups: Observable<readonly GroupWatch[]>;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  /** Passes a report to the failover coordinator of this process, if any. */
  readonly reportLocally: (suspicion: PrimarySuspicion) => void;
}

/** Reports each primary that this entry VM cannot reach to the control VMs. */
export class FailureReporter {
  private readonly reportedAt = new Map<string, number>();
  private subscriptions = new Map<GroupWatch, () => void>();

  private constructor(private readonly options: FailureReporterOptions) {}

  /** Starts reporting failures of the primaries of the watched groups. */
  static start(options: FailureReporterOptions): FailureReporter {
    const reporter = new FailureReporter(options);
    options.groups.subscribe(groups => reporter.subscribeTo(groups));
    reporter.subscribeTo(options.groups.current);
    options.timer.every(REPORT_INTERVAL_MILLISECONDS, () => {
      for (const group of options.groups.current) reporter.checkPrimary(group);
    });
    return reporter;
  }

  private subscribeTo(groups: readonly GroupWatch[]): void {
    for (const [group, unsubscribe] of this.subscriptions) {
      if (groups.includes(group)) continue;
      unsubscribe();
      this.subscriptions.delete(group);
    }
    for (const group of groups) {
      if (this.subscriptions.has(group)) continue;
      const unsubscribe = group.changes.subscribe(() =>
        this.checkPrimary(group),
      );
      this.subscriptions.set(group, unsubscribe);
    }
  }

  private checkPrimary(watch: GroupWatch): void {
    const suspicion = this.findSuspicion(watch);
    if (suspicion === undefined) return;
    const {timer} = this.options;
    const lastReportedAt = this.reportedAt.get(suspicion.database) ?? -Infinity;
    if (timer.now() - lastReportedAt < REPORT_INTERVAL_MILLISECONDS) return;
    this.reportedAt.set(suspicion.database, timer.now());
    this.report(suspicion);
  }

  private findSuspicion(watch: GroupWatch): PrimarySuspicion | undefined {
    const {group} = watch;
    if (group.primary === undefined) return undefined;
    const observation = watch.observation(group.primary);
    const status = observation?.status;
    const failure = observation?.failure;
    // A primary that now reports to be a replica no longer leads.
    const isDemoted =
      status !== undefined &&
      status.role !== 'primary' &&
      status.term === group.term &&
      findMember(group, group.primary) !== undefined;
    if (failure === undefined && !isDemoted) return undefined;
    return {
      database: group.database,
      term: group.term,
      reporter: this.options.self,
      refused: isDemoted || failure?.kind === 'connectionRefused',
    };
  }

  private report(suspicion: PrimarySuspicion): void {
    this.options.reportLocally(suspicion);
    const voters = this.options.machines.current.filter(
      machine => machine.controlVoter && machine.name !== this.options.self,
    );
    for (const voter of voters) {
      void this.options.network.call(
        voter.peerAddress,
        REPORT_SUSPECTED_PRIMARY,
        suspicion,
        CALL_TIMEOUT_MILLISECONDS,
      );
    }
  }
}
