import {Left, Right} from 'purify-ts';
import {
  DatabaseGroup,
  findGroup,
  findMember,
  VirtualMachine,
  votingMembers,
} from '@apricotlock/topology';
import {REPORT_PRIMARY, Symptom} from '@apricotlock/work';
import {
  AppointmentRound,
  RoundCause,
  RoundOptions,
} from './appointment_round.js';
import {KnownMember, PanelError} from './member_panel.js';
import {fencedNeeded, haveStoodStill} from './succession.js';

const TICK_MILLISECONDS = 50;
/** A holder that asks for no lease for so long is replaced. */
const HOLDER_SILENCE_MILLISECONDS = 450;
/** How long a VM that could not use a primary is passed over as its holder. */
const AVOID_HOLDER_MILLISECONDS = 5_000;
/** Reports of other VMs than the holder's count together for so long. */
const REPORT_MEMORY_MILLISECONDS = 4_000;
/** So many VMs that can't reach a primary count more than this one that can. */
const REPORTERS_NEEDED = 2;
/** Between two rounds of a group that came to nothing. */
const RETRY_MILLISECONDS = 150;
/** Replicas that did not move in this time although the primary did. */
const STALL_MILLISECONDS = 150;
/** Between two replacements because commits stall. */
const STALL_PAUSE_MILLISECONDS = 4_000;

/** What appointing primaries needs. */
export type AppointerOptions = Omit<RoundOptions, 'holders'> & {
  /** The VMs that serve callers. */
  readonly entryMachines: () => readonly VirtualMachine[];
};

interface Report {
  readonly database: string;
  readonly reporter: string;
  readonly at: number;
}

/**
 * The task of the VM that leads control which keeps a primary, and a VM that
 * may use it, for every group: it replaces what is lost and what leaves.
 */
export class Appointer {
  private readonly busy = new Set<string>();
  private readonly retryAt = new Map<string, number>();
  private readonly avoidUntil = new Map<string, number>();
  private readonly stalledAt = new Map<string, number>();
  private reports: readonly Report[] = [];

  private constructor(private readonly options: AppointerOptions) {}

  /** Starts the task and takes reports. */
  static start(options: AppointerOptions): Appointer {
    const appointer = new Appointer(options);
    options.timer.every(TICK_MILLISECONDS, () => appointer.tick());
    options.network.handle(REPORT_PRIMARY, async report => {
      if (!options.log.leading.current) return Left('not leading');
      appointer.reported(report.database, report.term, report);
      return Right({heard: true as const});
    });
    return appointer;
  }

  private tick(): void {
    const {log} = this.options;
    if (!log.leading.current) return;
    for (const group of log.state.current.view.groups) {
      const cause = this.causeFor(group);
      if (cause !== undefined) {
        this.exclusively(group, () => this.round(group, cause));
      }
    }
  }

  private causeFor(group: DatabaseGroup): RoundCause | undefined {
    const {grantor, entryMachines} = this.options;
    if (group.members.length === 0) return undefined;
    if (group.primary === undefined) return 'noPrimary';
    const primary = findMember(group, group.primary);
    if (primary === undefined || primary.state === 'removed') {
      return 'primaryLost';
    }
    if (primary.state === 'draining' && hasSuccessor(group)) return 'planned';
    const holder = entryMachines().find(({name}) => name === group.holder);
    if (holder?.state === 'draining') return 'holderLost';
    const silent = grantor.silentMilliseconds(group);
    return silent > HOLDER_SILENCE_MILLISECONDS ? 'holderLost' : undefined;
  }

  /** One piece of work at a time for each group. */
  private exclusively(
    {database}: DatabaseGroup,
    work: () => Promise<unknown>,
  ): void {
    const {timer, logger} = this.options;
    if (this.busy.has(database)) return;
    if (timer.now() < (this.retryAt.get(database) ?? 0)) return;
    this.busy.add(database);
    work()
      .catch((failure: unknown) =>
        logger.error('a round failed', {database, failure: String(failure)}),
      )
      .finally(() => this.busy.delete(database));
  }

  private async round(group: DatabaseGroup, cause: RoundCause): Promise<void> {
    const {timer} = this.options;
    if (cause === 'holderLost') this.avoid(group.holder);
    const done = await AppointmentRound.run(group, cause, {
      ...this.options,
      holders: () => this.holders(),
    });
    if (done) this.retryAt.delete(group.database);
    else this.retryAt.set(group.database, timer.now() + RETRY_MILLISECONDS);
  }

  /** The VMs that may hold a primary; those that failed only if all did. */
  private holders(): readonly VirtualMachine[] {
    const now = this.options.timer.now();
    const serving = this.options
      .entryMachines()
      .filter(({state}) => state === 'serving');
    const good = serving.filter(
      ({name}) => (this.avoidUntil.get(name) ?? 0) <= now,
    );
    return good.length > 0 ? good : serving;
  }

  private avoid(machine: string | undefined): void {
    if (machine === undefined) return;
    const until = this.options.timer.now() + AVOID_HOLDER_MILLISECONDS;
    this.avoidUntil.set(machine, until);
  }

  private reported(
    database: string,
    term: number,
    {reporter, symptom}: {readonly reporter: string; readonly symptom: Symptom},
  ): void {
    const {log, timer} = this.options;
    if (!log.leading.current) return;
    const group = findGroup(log.state.current.view, database);
    if (group === undefined || group.term !== term) return;
    if (group.primary === undefined) return;
    const oldest = timer.now() - REPORT_MEMORY_MILLISECONDS;
    this.reports = [
      ...this.reports.filter(({at}) => at > oldest),
      {database, reporter, at: timer.now()},
    ];
    this.exclusively(group, () =>
      symptom === 'commitsStall'
        ? this.examineStall(group)
        : this.examine(group, reporter),
    );
  }

  /** Looks at a primary that its holder can't use. */
  private async examine(group: DatabaseGroup, reporter: string): Promise<void> {
    const {panel, logger} = this.options;
    const primary = findMember(group, group.primary ?? '');
    if (primary === undefined) return;
    const answer = await panel.report(primary);
    const {database, term} = group;
    const leads = answer.toMaybe().extract()?.role === 'primary';
    const reporters = new Set(
      this.reports
        .filter(report => report.database === database)
        .map(report => report.reporter),
    );
    logger.info('examined a primary', {
      database,
      term,
      primary: primary.name,
      leads,
      failure: answer.isLeft()
        ? (answer.extract() as PanelError).kind
        : undefined,
      reporters: [...reporters].join(' '),
    });
    if (leads && reporters.size < REPORTERS_NEEDED) {
      this.avoid(reporter);
      return this.round(group, 'holderLost');
    }
    return this.round(group, 'primaryLost');
  }

  /**
   * Replaces a primary whose commits reach no replica, if another one could do
   * better: enough others have to be there for its own commits.
   */
  private async examineStall(group: DatabaseGroup): Promise<void> {
    const {timer, logger} = this.options;
    const {database, term} = group;
    const last = this.stalledAt.get(database) ?? -Infinity;
    if (timer.now() - last < STALL_PAUSE_MILLISECONDS) return;
    const before = await this.replicas(group);
    await timer.sleep(STALL_MILLISECONDS);
    const after = await this.replicas(group);
    const stalled = haveStoodStill(before, after);
    const enough = after.length >= fencedNeeded(group);
    logger.info('examined stalled commits', {
      database,
      term,
      stalled,
      enough,
      replicas: after.map(({member}) => member.name).join(' '),
    });
    if (!stalled || !enough) return;
    this.stalledAt.set(database, timer.now());
    return this.round(group, 'primaryLost');
  }

  /** The members that answer and are not the primary. */
  private replicas(group: DatabaseGroup): Promise<readonly KnownMember[]> {
    const others = votingMembers(group).filter(
      ({name}) => name !== group.primary,
    );
    return this.options.panel.reports(others);
  }
}

/** Whether some other member stays. */
function hasSuccessor(group: DatabaseGroup): boolean {
  return group.members.some(
    ({name, state}) => state === 'active' && name !== group.primary,
  );
}
