import {Left, Right} from 'purify-ts';
import {
  DatabaseGroup,
  findGroup,
  findMember,
  VirtualMachine,
  votingMembers,
} from '@apricotlock/topology';
import {
  COUNT_TRANSACTIONS,
  REPORT_PRIMARY_FAILURE,
  Symptom,
} from '@apricotlock/work';
import {
  HolderDrain,
  holderDrainMilliseconds,
  mustHandOver,
} from './holder_drain.js';
import {
  PrimaryFailover,
  FailoverCause,
  PrimaryFailoverOptions,
} from './primary_failover.js';
import {MemberWithReport, MemberAdminError} from './member_admin_client.js';
import {RemovedLogCheck} from './removed_log_check.js';
import {requiredFencedCount, haveNotAdvanced} from './replication_state.js';

const TICK_INTERVAL_MILLISECONDS = 50;
/** A longer pause between two ticks means that this VM was held up. */
const HELD_UP_MILLISECONDS = 3 * TICK_INTERVAL_MILLISECONDS;
/**
 * How long a VM that could not reach its primary is avoided as lease holder.
 */
const AVOID_HOLDER_MILLISECONDS = 5_000;
/** Period within which reports of different VMs are counted together. */
const REPORT_WINDOW_MILLISECONDS = 4_000;
/**
 * With reports from this many VMs, a primary is replaced even if it answers
 * this VM.
 */
const REQUIRED_REPORTERS = 2;
/** Pause before the next failover of a group if one was unsuccessful. */
const RETRY_MILLISECONDS = 150;
/**
 * A reported stall of commits is confirmed if no replica receives anything
 * within this time.
 */
const STALL_OBSERVATION_MILLISECONDS = 150;
/** A draining holder that takes longer to answer is replaced at once. */
const TRANSACTION_COUNT_TIMEOUT_MILLISECONDS = 200;
/** Minimum time between two failovers of a group because commits stall. */
const STALL_RETRY_MILLISECONDS = 4_000;

/** Dependencies of the primary supervisor. */
export type PrimarySupervisorOptions = Omit<
  PrimaryFailoverOptions,
  'holderCandidates'
> & {
  /** The VMs that serve callers. */
  readonly entryMachines: () => readonly VirtualMachine[];
  /** The time that VMs have to stop, in milliseconds. */
  readonly graceMilliseconds: number;
};

interface PrimaryReport {
  readonly database: string;
  readonly reporter: string;
  readonly at: number;
}

/**
 * Ensures that every group has a primary and a lease holder. Runs on the
 * control leader, and starts a failover when either is lost or draining.
 */
export class PrimarySupervisor {
  private readonly busy = new Set<string>();
  private readonly retryAt = new Map<string, number>();
  private readonly avoidUntil = new Map<string, number>();
  private readonly stalledAt = new Map<string, number>();
  private reports: readonly PrimaryReport[] = [];
  private lastTickAt = -Infinity;
  private readonly removedLogs: RemovedLogCheck;
  private readonly holderDrain: HolderDrain;

  private constructor(private readonly options: PrimarySupervisorOptions) {
    this.removedLogs = RemovedLogCheck.create(options);
    this.holderDrain = HolderDrain.create(options.timer);
  }

  /** Starts checking groups periodically and handling reports of primaries. */
  static start(options: PrimarySupervisorOptions): PrimarySupervisor {
    const supervisor = new PrimarySupervisor(options);
    options.timer.every(TICK_INTERVAL_MILLISECONDS, () => supervisor.tick());
    options.network.handle(REPORT_PRIMARY_FAILURE, async report => {
      if (!options.log.leading.current) return Left('not leading');
      supervisor.handleReport(report.database, report.term, report);
      return Right({heard: true as const});
    });
    return supervisor;
  }

  private tick(): void {
    const {log, timer, grantor} = this.options;
    const now = timer.now();
    // Requests that arrived while this VM was held up have not been read yet.
    if (now - this.lastTickAt > HELD_UP_MILLISECONDS) grantor.silence.excuse();
    this.lastTickAt = now;
    if (!log.leading.current) return;
    for (const group of log.state.current.view.groups) {
      this.removedLogs.start(group);
      const cause = this.causeFor(group);
      if (cause !== undefined) {
        this.runExclusively(group, () => this.failOver(group, cause));
        continue;
      }
      const holder = this.drainingHolder(group);
      if (holder !== undefined) {
        this.runExclusively(group, () => this.relieveHolder(group, holder));
      }
    }
  }

  private drainingHolder(group: DatabaseGroup): VirtualMachine | undefined {
    return this.options
      .entryMachines()
      .find(({name, state}) => name === group.holder && state === 'draining');
  }

  /**
   * Replaces a draining lease holder, which goes on serving the primary until
   * the transactions that are open there have ended or their time is over.
   */
  private async relieveHolder(
    group: DatabaseGroup,
    {peerAddress}: VirtualMachine,
  ): Promise<void> {
    const drainingMilliseconds = this.holderDrain.record(group);
    const {database, term} = group;
    const answer = await this.options.network.call(
      peerAddress,
      COUNT_TRANSACTIONS,
      {database, term},
      TRANSACTION_COUNT_TIMEOUT_MILLISECONDS,
    );
    const open = answer.toMaybe().extract()?.open;
    const limit = holderDrainMilliseconds(this.options.graceMilliseconds);
    if (!mustHandOver(drainingMilliseconds, open, limit)) return;
    await this.failOver(group, 'holderLost');
  }

  private causeFor(group: DatabaseGroup): FailoverCause | undefined {
    const {grantor, deadlines} = this.options;
    if (group.members.length === 0) return undefined;
    if (group.primary === undefined) return 'noPrimary';
    const primary = findMember(group, group.primary);
    if (primary === undefined || primary.state === 'removed') {
      return 'primaryLost';
    }
    if (primary.state === 'draining') {
      const isOverdue = !deadlines.allowsLease(primary);
      if (isOverdue || hasSuccessor(group)) return 'planned';
    }
    return grantor.silence.isLost(group) ? 'holderLost' : undefined;
  }

  /** Runs at most one task at a time for each group. */
  private runExclusively(
    {database}: DatabaseGroup,
    work: () => Promise<unknown>,
  ): void {
    const {timer, logger} = this.options;
    if (this.busy.has(database)) return;
    if (timer.now() < (this.retryAt.get(database) ?? 0)) return;
    this.busy.add(database);
    work()
      .catch((failure: unknown) =>
        logger.error('failover or check failed with an unexpected error', {
          database,
          failure: String(failure),
        }),
      )
      .finally(() => this.busy.delete(database));
  }

  private async failOver(
    group: DatabaseGroup,
    cause: FailoverCause,
  ): Promise<void> {
    const {timer} = this.options;
    if (cause === 'holderLost') {
      this.avoidHolder(group.holder);
      this.options.grantor.silence.recordReplacement(group);
    }
    const succeeded = await PrimaryFailover.run(group, cause, {
      ...this.options,
      holderCandidates: () => this.holderCandidates(),
    });
    if (succeeded) this.retryAt.delete(group.database);
    else this.retryAt.set(group.database, timer.now() + RETRY_MILLISECONDS);
  }

  /**
   * Returns the VMs that may become lease holders. VMs that recently failed
   * are included only if there are no others.
   */
  private holderCandidates(): readonly VirtualMachine[] {
    const now = this.options.timer.now();
    const serving = this.options
      .entryMachines()
      .filter(({state}) => state === 'serving');
    const preferred = serving.filter(
      ({name}) => (this.avoidUntil.get(name) ?? 0) <= now,
    );
    return preferred.length > 0 ? preferred : serving;
  }

  private avoidHolder(machine: string | undefined): void {
    if (machine === undefined) return;
    const until = this.options.timer.now() + AVOID_HOLDER_MILLISECONDS;
    this.avoidUntil.set(machine, until);
  }

  private handleReport(
    database: string,
    term: number,
    {reporter, symptom}: {readonly reporter: string; readonly symptom: Symptom},
  ): void {
    const {log, timer} = this.options;
    if (!log.leading.current) return;
    const group = findGroup(log.state.current.view, database);
    if (group === undefined || group.term !== term) return;
    if (group.primary === undefined) return;
    const windowStart = timer.now() - REPORT_WINDOW_MILLISECONDS;
    this.reports = [
      ...this.reports.filter(({at}) => at > windowStart),
      {database, reporter, at: timer.now()},
    ];
    this.runExclusively(group, () =>
      symptom === 'commitsStall'
        ? this.investigateStall(group)
        : this.investigateReport(group, reporter),
    );
  }

  /**
   * Checks a primary that an entry VM can't use. Replaces the lease holder if
   * the primary answers and fewer than {@link REQUIRED_REPORTERS} VMs have
   * reported it, else the primary.
   */
  private async investigateReport(
    group: DatabaseGroup,
    reporter: string,
  ): Promise<void> {
    const {memberAdmin, logger} = this.options;
    const primary = findMember(group, group.primary ?? '');
    if (primary === undefined) return;
    const answer = await memberAdmin.report(primary);
    const {database, term} = group;
    const isPrimary = answer.toMaybe().extract()?.role === 'primary';
    const reporters = new Set(
      this.reports
        .filter(report => report.database === database)
        .map(report => report.reporter),
    );
    logger.info('checked a primary reported as unusable', {
      database,
      term,
      primary: primary.name,
      isPrimary,
      failure: answer.isLeft()
        ? (answer.extract() as MemberAdminError).kind
        : undefined,
      reporters: [...reporters].join(' '),
    });
    if (isPrimary && reporters.size < REQUIRED_REPORTERS) {
      this.avoidHolder(reporter);
      return this.failOver(group, 'holderLost');
    }
    return this.failOver(group, 'primaryLost');
  }

  /**
   * Replaces a primary whose commits reach no replica, provided that enough
   * other members answer for a new primary to have its commits confirmed.
   */
  private async investigateStall(group: DatabaseGroup): Promise<void> {
    const {timer, logger} = this.options;
    const {database, term} = group;
    const lastAt = this.stalledAt.get(database) ?? -Infinity;
    if (timer.now() - lastAt < STALL_RETRY_MILLISECONDS) return;
    const earlier = await this.fetchReplicaReports(group);
    await timer.sleep(STALL_OBSERVATION_MILLISECONDS);
    const later = await this.fetchReplicaReports(group);
    const stalled = haveNotAdvanced(earlier, later);
    const enoughReplicas = later.length >= requiredFencedCount(group);
    logger.info('checked replicas for stalled commits', {
      database,
      term,
      stalled,
      enoughReplicas,
      replicas: later.map(({member}) => member.name).join(' '),
    });
    if (!stalled || !enoughReplicas) return;
    this.stalledAt.set(database, timer.now());
    return this.failOver(group, 'primaryLost');
  }

  /** Fetches reports of the members other than the primary that answer. */
  private fetchReplicaReports(
    group: DatabaseGroup,
  ): Promise<readonly MemberWithReport[]> {
    const replicas = votingMembers(group).filter(
      ({name}) => name !== group.primary,
    );
    return this.options.memberAdmin.reports(replicas);
  }
}

/** Returns whether the group has an active member besides the primary. */
function hasSuccessor(group: DatabaseGroup): boolean {
  return group.members.some(
    ({name, state}) => state === 'active' && name !== group.primary,
  );
}
