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
import {askMembers} from './ask_members.js';
import {SUSPECT, Suspicion} from './failover_messages.js';
import {FailoverRound} from './failover_round.js';

const SUSPICION_LIFETIME_MILLISECONDS = 1_000;
const OBSERVERS_NEEDED = 2;
/** How long watchers that disagree with this process have to go on. */
const DISAGREEMENT_MILLISECONDS = 1_500;
const PROBE_TIMEOUT_MILLISECONDS = 200;
const SWEEP_PERIOD_MILLISECONDS = 50;

/** What a coordinator needs. */
export interface FailoverOptions {
  readonly log: ControlLog;
  readonly client: MemberClient;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly logger: Logger;
}

interface HeardSuspicion extends Suspicion {
  readonly heardAt: number;
  /** When its reporter began to report without a break. */
  readonly since: number;
}

/**
 * Replaces lost primaries, on the control VM that leads. It believes no single
 * observer: a primary is replaced when a watcher of its group and this
 * process, each on a connection made for that, cannot reach it. Watchers that
 * go on to report it are believed even where this process can reach it: it may
 * be cut off together with the primary from everybody else.
 */
export class FailoverCoordinator {
  private suspicions: readonly HeardSuspicion[] = [];
  private readonly busy = new Set<string>();

  private constructor(private readonly options: FailoverOptions) {}

  /** Starts to listen for suspicions. */
  static start(options: FailoverOptions): FailoverCoordinator {
    const coordinator = new FailoverCoordinator(options);
    options.network.handle(SUSPECT, async suspicion => {
      coordinator.suspect(suspicion);
      return Either.of({heard: true});
    });
    options.timer.every(SWEEP_PERIOD_MILLISECONDS, () => coordinator.sweep());
    return coordinator;
  }

  /** Takes a report that a primary cannot be reached. */
  suspect(suspicion: Suspicion): void {
    if (!this.options.log.leading.current) return;
    const now = this.options.timer.now();
    const fresh = this.suspicions.filter(
      known => now - known.heardAt < SUSPICION_LIFETIME_MILLISECONDS,
    );
    const before = fresh.find(known => isSameReport(known, suspicion));
    const others = fresh.filter(known => known !== before);
    const since = before?.since ?? now;
    this.suspicions = [...others, {...suspicion, heardAt: now, since}];
    const group = this.groupOf(suspicion.database);
    if (group === undefined || group.term !== suspicion.term) return;
    this.exclusively(group.database, () => this.examine(group));
  }

  /** Takes up groups that have no primary, such as after a broken round. */
  private sweep(): void {
    if (!this.options.log.leading.current) return;
    for (const group of this.options.log.state.current.view.groups) {
      if (group.primary !== undefined) continue;
      this.exclusively(group.database, () => this.appoint(group));
    }
  }

  /** One piece of work at a time for each group. */
  private exclusively(database: string, work: () => Promise<unknown>): void {
    if (this.busy.has(database)) return;
    this.busy.add(database);
    void work().finally(() => this.busy.delete(database));
  }

  private async examine(group: DatabaseGroup): Promise<void> {
    const primary = findMember(group, group.primary ?? '');
    if (primary === undefined) return;
    const answer = await this.probe(primary);
    const status = answer.toMaybe().extract();
    const leads = status?.role === 'primary' && status.term === group.term;
    const now = this.options.timer.now();
    const reports = this.reportsOf(group);
    const lasting = reports.filter(
      ({since}) => now - since >= DISAGREEMENT_MILLISECONDS,
    );
    if (leads && lasting.length < OBSERVERS_NEEDED) return;
    // This process's own failed probe is an observation too.
    if (!leads && reports.length + 1 < OBSERVERS_NEEDED) return;
    const text =
      status === undefined || leads
        ? 'the primary cannot be reached'
        : 'the primary leads no more';
    await FailoverRound.run(
      group,
      {
        text,
        highestTerm: status?.fencedTerm ?? 0,
        // It leads where only this process reaches it: it must not again.
        ...(leads ? {avoided: primary.name} : {}),
      },
      this.options,
    );
  }

  private reportsOf(group: DatabaseGroup): readonly HeardSuspicion[] {
    const oldest = this.options.timer.now() - SUSPICION_LIFETIME_MILLISECONDS;
    return this.suspicions.filter(
      known =>
        known.database === group.database &&
        known.term === group.term &&
        known.heardAt >= oldest,
    );
  }

  /** Finds the primary of a group that has none. */
  private async appoint(group: DatabaseGroup): Promise<void> {
    const members = votingMembers(group);
    if (members.length < majorityOf(group)) return;
    const first = group.term === 0;
    const statuses = await askMembers(members, member => this.probe(member), {
      // A group that is new here may have a primary, which must be found.
      enough: first ? members.length : majorityOf(group),
      counts: () => true,
    });
    if (statuses.length < majorityOf(group)) return;
    const highestTerm = Math.max(...statuses.map(known => known.fencedTerm));
    const leading = first ? leaderOf(statuses, highestTerm) : undefined;
    if (leading !== undefined) {
      await FailoverRound.adopt(group, leading, this.options);
      return;
    }
    const reason = {text: 'there is no primary', highestTerm};
    await FailoverRound.run(group, reason, this.options);
  }

  private probe(member: Member) {
    return this.options.client.status(member.apiAddress, {
      holdMilliseconds: 0,
      timeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS,
      freshConnection: true,
    });
  }

  private groupOf(database: string): DatabaseGroup | undefined {
    return findGroup(this.options.log.state.current.view, database);
  }
}

function leaderOf(
  statuses: readonly MemberStatus[],
  term: number,
): MemberStatus | undefined {
  return statuses.find(
    status => status.role === 'primary' && status.term === term,
  );
}

function isSameReport(left: Suspicion, right: Suspicion): boolean {
  return (
    left.database === right.database &&
    left.term === right.term &&
    left.reporter === right.reporter
  );
}
