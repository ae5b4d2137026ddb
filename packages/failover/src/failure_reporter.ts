import {GroupWatch} from '@apricotlock/group';
import {Observable} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {findMember, VirtualMachine} from '@apricotlock/topology';
import {SUSPECT, Suspicion} from './failover_messages.js';

const REPEAT_MILLISECONDS = 100;
const CALL_TIMEOUT_MILLISECONDS = 500;

/** What a reporter needs. */
export interface FailureReporterOptions {
  readonly self: string;
  readonly groups: Observable<readonly GroupWatch[]>;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  /** Takes what this process reports, if it leads. */
  readonly local: (suspicion: Suspicion) => void;
}

/** Tells the control VMs of each primary that this entry VM cannot reach. */
export class FailureReporter {
  private readonly reportedAt = new Map<string, number>();
  private subscriptions = new Map<GroupWatch, () => void>();

  private constructor(private readonly options: FailureReporterOptions) {}

  /** Starts to watch the watched groups. */
  static start(options: FailureReporterOptions): FailureReporter {
    const reporter = new FailureReporter(options);
    options.groups.subscribe(groups => reporter.follow(groups));
    reporter.follow(options.groups.current);
    options.timer.every(REPEAT_MILLISECONDS, () => {
      for (const group of options.groups.current) reporter.examine(group);
    });
    return reporter;
  }

  private follow(groups: readonly GroupWatch[]): void {
    for (const [group, stop] of this.subscriptions) {
      if (groups.includes(group)) continue;
      stop();
      this.subscriptions.delete(group);
    }
    for (const group of groups) {
      if (this.subscriptions.has(group)) continue;
      const stop = group.changes.subscribe(() => this.examine(group));
      this.subscriptions.set(group, stop);
    }
  }

  private examine(watch: GroupWatch): void {
    const suspicion = this.suspicionOf(watch);
    if (suspicion === undefined) return;
    const {timer} = this.options;
    const last = this.reportedAt.get(suspicion.database) ?? -Infinity;
    if (timer.now() - last < REPEAT_MILLISECONDS) return;
    this.reportedAt.set(suspicion.database, timer.now());
    this.report(suspicion);
  }

  private suspicionOf(watch: GroupWatch): Suspicion | undefined {
    const {group} = watch;
    if (group.primary === undefined) return undefined;
    const observation = watch.observation(group.primary);
    const status = observation?.status;
    const failure = observation?.failure;
    // A primary that came back as a replica leads no more.
    const demoted =
      status !== undefined &&
      status.role !== 'primary' &&
      status.term === group.term &&
      findMember(group, group.primary) !== undefined;
    if (failure === undefined && !demoted) return undefined;
    return {
      database: group.database,
      term: group.term,
      reporter: this.options.self,
      refused: demoted || failure?.kind === 'connectionRefused',
    };
  }

  private report(suspicion: Suspicion): void {
    this.options.local(suspicion);
    const voters = this.options.machines.current.filter(
      machine => machine.controlVoter && machine.name !== this.options.self,
    );
    for (const voter of voters) {
      void this.options.network.call(
        voter.peerAddress,
        SUSPECT,
        suspicion,
        CALL_TIMEOUT_MILLISECONDS,
      );
    }
  }
}
