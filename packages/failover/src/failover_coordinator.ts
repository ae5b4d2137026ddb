import {Either} from 'purify-ts';
import {ControlLog} from '@apricotlock/control';
import {Logger} from '@apricotlock/logging';
import {MemberClient, MemberStatus} from '@apricotlock/member';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {
  DatabaseGroup,
  findGroup,
  findMember,
  majorityOf,
  Member,
  votingMembers,
} from '@apricotlock/topology';
import {collectStatuses} from './collect_statuses.js';
import {FailoverAttempt} from './failover_attempt.js';
import {
  PrimarySuspicion,
  REPORT_SUSPECTED_PRIMARY,
} from './failover_messages.js';

/** A suspicion that is not repeated expires after this time. */
const SUSPICION_LIFETIME_MILLISECONDS = 1_000;
/** The number of failure observations after which a primary is replaced. */
const REQUIRED_OBSERVATIONS = 2;
/**
 * If this process reaches a primary, watchers must have reported it without
 * interruption for this long before it is replaced.
 */
const PERSISTENT_REPORT_MILLISECONDS = 1_500;
const PROBE_TIMEOUT_MILLISECONDS = 200;
/** Groups without a primary are looked for at this interval. */
const SWEEP_INTERVAL_MILLISECONDS = 50;

/** Dependencies of {@link FailoverCoordinator}. */
export interface FailoverCoordinatorOptions {
  readonly log: ControlLog;
  readonly client: MemberClient;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly logger: Logger;
}

interface ReceivedSuspicion extends PrimarySuspicion {
  readonly receivedAt: number;
  /** The time of the first report in an uninterrupted series of reports. */
  readonly since: number;
}

/**
 * Replaces lost primaries; active only on the control leader. A single
 * observation is never enough: a primary is replaced if both a watcher of its
 * group and this process fail to reach it, each over a new connection. If this
 * process can reach the primary, it is still replaced after persistent reports
 * of several watchers, because this process and the primary may be partitioned
 * together from all other VMs.
 */
export class FailoverCoordinator {
  private suspicions: readonly ReceivedSuspicion[] = [];
  private readonly busyDatabases = new Set<string>();

  private constructor(private readonly options: FailoverCoordinatorOptions) {}

  /** Starts handling reports of suspected primaries. */
  static start(options: FailoverCoordinatorOptions): FailoverCoordinator {
    const coordinator = new FailoverCoordinator(options);
    options.network.handle(REPORT_SUSPECTED_PRIMARY, async suspicion => {
      coordinator.recordSuspicion(suspicion);
      return Either.of({heard: true});
    });
    options.timer.every(SWEEP_INTERVAL_MILLISECONDS, () => coordinator.sweep());
    return coordinator;
  }

  /**
   * Records a report that a primary cannot be reached and checks the primary.
   * Does nothing unless this process is the control leader.
   */
  recordSuspicion(suspicion: PrimarySuspicion): void {
    if (!this.options.log.leading.current) return;
    const now = this.options.timer.now();
    const current = this.suspicions.filter(
      known => now - known.receivedAt < SUSPICION_LIFETIME_MILLISECONDS,
    );
    const previous = current.find(known => isSameReport(known, suspicion));
    const others = current.filter(known => known !== previous);
    const since = previous?.since ?? now;
    this.suspicions = [...others, {...suspicion, receivedAt: now, since}];
    const group = this.groupOf(suspicion.database);
    if (group === undefined || group.term !== suspicion.term) return;
    this.runExclusively(group.database, () => this.checkPrimary(group));
  }

  /** Assigns a primary to each group without one, as after a failed attempt. */
  private sweep(): void {
    if (!this.options.log.leading.current) return;
    for (const group of this.options.log.state.current.view.groups) {
      if (group.primary !== undefined) continue;
      this.runExclusively(group.database, () => this.assignPrimary(group));
    }
  }

  /** Runs `work` unless other work for the same database is still running. */
  private runExclusively(database: string, work: () => Promise<unknown>): void {
    if (this.busyDatabases.has(database)) return;
    this.busyDatabases.add(database);
    void work().finally(() => this.busyDatabases.delete(database));
  }

  private async checkPrimary(group: DatabaseGroup): Promise<void> {
    const primary = findMember(group, group.primary ?? '');
    if (primary === undefined) return;
    const answer = await this.probe(primary);
    const status = answer.toMaybe().extract();
    const isPrimary = status?.role === 'primary' && status.term === group.term;
    const now = this.options.timer.now();
    const reports = this.findReports(group);
    const persistentReports = reports.filter(
      ({since}) => now - since >= PERSISTENT_REPORT_MILLISECONDS,
    );
    if (isPrimary && persistentReports.length < REQUIRED_OBSERVATIONS) return;
    // The failed probe of this process counts as one observation.
    if (!isPrimary && reports.length + 1 < REQUIRED_OBSERVATIONS) return;
    const text =
      status === undefined || isPrimary
        ? 'the primary cannot be reached'
        : 'the primary leads no more';
    await FailoverAttempt.run(
      group,
      {
        text,
        highestTerm: status?.fencedTerm ?? 0,
        // Other VMs cannot reach this primary, so avoid promoting it again.
        ...(isPrimary ? {avoidedMember: primary.name} : {}),
      },
      this.options,
    );
  }

  private findReports(group: DatabaseGroup): readonly ReceivedSuspicion[] {
    const earliest = this.options.timer.now() - SUSPICION_LIFETIME_MILLISECONDS;
    return this.suspicions.filter(
      known =>
        known.database === group.database &&
        known.term === group.term &&
        known.receivedAt >= earliest,
    );
  }

  /** Adopts the existing primary of a new group, or promotes a member. */
  private async assignPrimary(group: DatabaseGroup): Promise<void> {
    const members = votingMembers(group);
    if (members.length < majorityOf(group)) return;
    const isNewGroup = group.term === 0;
    const statuses = await collectStatuses(
      members,
      member => this.probe(member),
      {
        // A new group may already have a primary, so every member is queried.
        requiredCount: isNewGroup ? members.length : majorityOf(group),
        accepts: () => true,
      },
    );
    if (statuses.length < majorityOf(group)) return;
    const highestTerm = Math.max(...statuses.map(known => known.fencedTerm));
    const existingPrimary = isNewGroup
      ? findPrimary(statuses, highestTerm)
      : undefined;
    if (existingPrimary !== undefined) {
      await FailoverAttempt.adopt(group, existingPrimary, this.options);
      return;
    }
    const reason = {text: 'there is no primary', highestTerm};
    await FailoverAttempt.run(group, reason, this.options);
  }

  private probe(member: Member) {
    return this.options.client.fetchStatus(member.apiAddress, {
      holdMilliseconds: 0,
      timeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS,
      freshConnection: true,
    });
  }

  private groupOf(database: string): DatabaseGroup | undefined {
    return findGroup(this.options.log.state.current.view, database);
  }
}

function findPrimary(
  statuses: readonly MemberStatus[],
  term: number,
): MemberStatus | undefined {
  return statuses.find(
    status => status.role === 'primary' && status.term === term,
  );
}

function isSameReport(
  left: PrimarySuspicion,
  right: PrimarySuspicion,
): boolean {
  return (
    left.database === right.database &&
    left.term === right.term &&
    left.reporter === right.reporter
  );
}
