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
import {SUSPECT, Suspicion} from './failover_messages.js';

const SUSPICION_LIFETIME_MILLISECONDS = 1_000;
const REPORTERS_NEEDED = 2;
const PROBE_TIMEOUT_MILLISECONDS = 250;
const COMMAND_TIMEOUT_MILLISECONDS = 500;
const SWEEP_PERIOD_MILLISECONDS = 200;

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
}

/**
 * Replaces lost primaries, on the control VM that leads. A round opens a term
 * in the replicated log, fences a majority of the group at it, and promotes
 * the fenced member with the longest log of the latest term. Any later round
 * can finish what an earlier one left, since each has a term of its own.
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
      known =>
        now - known.heardAt < SUSPICION_LIFETIME_MILLISECONDS &&
        !isSameReport(known, suspicion),
    );
    this.suspicions = [...fresh, {...suspicion, heardAt: now}];
    const group = this.groupOf(suspicion.database);
    if (group === undefined || group.term !== suspicion.term) return;
    void this.exclusively(group.database, () => this.examine(group));
  }

  /** Takes up groups that have no primary. */
  private sweep(): void {
    if (!this.options.log.leading.current) return;
    for (const group of this.options.log.state.current.view.groups) {
      if (group.primary !== undefined) continue;
      void this.exclusively(group.database, () => this.appoint(group));
    }
  }

  /** One round at a time for each group. */
  private async exclusively(
    database: string,
    work: () => Promise<void>,
  ): Promise<void> {
    if (this.busy.has(database)) return;
    this.busy.add(database);
    try {
      await work();
    } finally {
      this.busy.delete(database);
    }
  }

  private async examine(group: DatabaseGroup): Promise<void> {
    const primary = findMember(group, group.primary ?? '');
    if (primary === undefined) return;
    const reporters = this.suspicions.filter(
      known => known.database === group.database && known.term === group.term,
    );
    const answer = await this.options.client.status(primary.apiAddress, {
      holdMilliseconds: 0,
      timeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS,
      freshConnection: true,
    });
    const status = answer.toMaybe().extract();
    const leads = status?.role === 'primary' && status.term === group.term;
    const enough = reporters.length >= REPORTERS_NEEDED;
    // The leader's own failed probe is an observation too.
    if (leads || (!enough && reporters.length + 1 < REPORTERS_NEEDED)) return;
    await this.round(group, 'the primary cannot be reached');
  }

  /** Finds the primary of a group that has none. */
  private async appoint(group: DatabaseGroup): Promise<void> {
    const members = votingMembers(group);
    if (members.length < majorityOf(group)) return;
    const statuses = await this.ask(members, member =>
      this.options.client.status(member.apiAddress, {
        holdMilliseconds: 0,
        timeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS,
        freshConnection: true,
      }),
    );
    if (statuses.length < majorityOf(group)) return;
    const highest = Math.max(...statuses.map(status => status.fencedTerm));
    const leading = statuses.find(
      status => status.role === 'primary' && status.term === highest,
    );
    if (group.term === 0 && leading !== undefined) {
      await this.adopt(group, leading);
      return;
    }
    await this.round(
      {...group, term: group.term},
      'there is no primary',
      highest,
    );
  }

  /** Takes over a primary that led its group before the system knew of it. */
  private async adopt(
    group: DatabaseGroup,
    leading: MemberStatus,
  ): Promise<void> {
    const opened = await this.openTerm(group, leading.term, 'first seen');
    if (opened) await this.appointed(group, leading.term, leading.name);
  }

  private async round(
    group: DatabaseGroup,
    reason: string,
    highestTerm = 0,
  ): Promise<void> {
    const {logger, client} = this.options;
    const term = Math.max(group.term, highestTerm) + 1;
    if (!(await this.openTerm(group, term, reason))) return;
    logger.warn('failing over', {database: group.database, term, reason});
    const members = votingMembers(group);
    const fenced = await this.ask(
      members,
      member =>
        client.fence(member.apiAddress, term, COMMAND_TIMEOUT_MILLISECONDS),
      majorityOf(group),
    );
    if (fenced.length < majorityOf(group)) return;
    const chosen = findMember(group, longestLog(fenced).name);
    if (chosen === undefined) return;
    const promoted = await client.promote(
      chosen.apiAddress,
      term,
      COMMAND_TIMEOUT_MILLISECONDS,
    );
    const leads = promoted.toMaybe().extract()?.role === 'primary';
    if (leads) await this.appointed(group, term, chosen.name);
  }

  private async openTerm(
    group: DatabaseGroup,
    term: number,
    reason: string,
  ): Promise<boolean> {
    const answer = await this.options.log.propose({
      kind: 'beginTerm',
      database: group.database,
      expectedTerm: group.term,
      term,
      reason,
      at: this.options.timer.wallClock(),
    });
    return answer.toMaybe().extract()?.kind === 'accepted';
  }

  private async appointed(
    group: DatabaseGroup,
    term: number,
    primary: string,
  ): Promise<void> {
    const {log, logger, timer} = this.options;
    const {database} = group;
    const at = timer.wallClock();
    await log.propose({kind: 'setPrimary', database, term, primary, at});
    logger.info('a primary was appointed', {database, term, primary});
  }

  /** Asks members at once; gives the answers once `enough` have come. */
  private ask(
    members: readonly Member[],
    call: (member: Member) => ReturnType<MemberClient['status']>,
    enough = members.length,
  ): Promise<readonly MemberStatus[]> {
    return new Promise(resolve => {
      const statuses: MemberStatus[] = [];
      let open = members.length;
      for (const member of members) {
        void call(member).then(answer => {
          open -= 1;
          answer.ifRight(status => statuses.push(status));
          if (open === 0 || statuses.length >= enough) resolve([...statuses]);
        });
      }
    });
  }

  private groupOf(database: string): DatabaseGroup | undefined {
    return findGroup(this.options.log.state.current.view, database);
  }
}

/** The member whose log is the longest of those of the latest term. */
function longestLog(statuses: readonly MemberStatus[]): MemberStatus {
  return statuses.reduce((best, status) => {
    if (status.term !== best.term) {
      return status.term > best.term ? status : best;
    }
    return status.received > best.received ? status : best;
  });
}

function isSameReport(left: Suspicion, right: Suspicion): boolean {
  return left.database === right.database && left.reporter === right.reporter;
}
