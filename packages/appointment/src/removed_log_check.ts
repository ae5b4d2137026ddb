import {ControlLog} from '@apricotlock/control';
import {Logger} from '@apricotlock/logging';
import {comparePositions} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {DatabaseGroup, findMember, votingMembers} from '@apricotlock/topology';
import {MemberAdminClient} from './member_admin_client.js';
import {longestLog} from './replication_state.js';

/**
 * The wait before logs are compared: a member that has left may receive commits
 * until its process ends.
 */
const PROCESS_END_MILLISECONDS = 300;
/** Pause between two attempts; each opens a connection to every member. */
const RETRY_MILLISECONDS = 400;

/** Dependencies of the check. */
export interface RemovedLogCheckOptions {
  readonly log: ControlLog;
  readonly memberAdmin: MemberAdminClient;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/**
 * Finds out when the logs of removed members no longer matter. A commit counts
 * as acknowledged once the primary and one replica hold it. If that replica
 * leaves, the primary may be the only member with the commit, so that no other
 * member may be promoted without it. Once a present replica has received all
 * that the primary held after the removal, this is recorded in the control log.
 */
export class RemovedLogCheck {
  private readonly running = new Set<string>();

  private constructor(private readonly options: RemovedLogCheckOptions) {}

  /** Creates a check. */
  static create(options: RemovedLogCheckOptions): RemovedLogCheck {
    return new RemovedLogCheck(options);
  }

  /** Starts a check of a group, if it needs one and none is running. */
  start(group: DatabaseGroup): void {
    const {database} = group;
    const names = unconfirmedMembers(group);
    if (names.length === 0 || group.primary === undefined) return;
    if (this.running.has(database)) return;
    this.running.add(database);
    this.run(group, names)
      .catch((failure: unknown) =>
        this.options.logger.error('check of removed members failed', {
          database,
          failure: String(failure),
        }),
      )
      .finally(() => this.running.delete(database));
  }

  /** Resolves once one attempt has ended, whether it succeeded or not. */
  private async run(
    group: DatabaseGroup,
    names: readonly string[],
  ): Promise<void> {
    const {log, timer, logger} = this.options;
    const {database, term} = group;
    const {leadingTerm} = log;
    if (leadingTerm === undefined) return;
    await timer.sleep(PROCESS_END_MILLISECONDS);
    if (!(await this.hasReplicaOfPrimary(group))) {
      await timer.sleep(RETRY_MILLISECONDS);
      return;
    }
    const answer = await log.proposeInTerm(
      {
        kind: 'confirmRemovedLogs',
        database,
        term,
        members: names,
        at: timer.wallClock(),
      },
      leadingTerm,
    );
    logger.info('checked the logs of removed members', {
      database,
      term,
      members: names.join(' '),
      answer: answer.toMaybe().extract()?.kind,
    });
  }

  /** Returns whether a replica has received all that the primary holds now. */
  private async hasReplicaOfPrimary(group: DatabaseGroup): Promise<boolean> {
    const {memberAdmin} = this.options;
    const primary = findMember(group, group.primary ?? '');
    if (primary === undefined) return false;
    const report = (await memberAdmin.report(primary)).toMaybe().extract();
    if (report?.role !== 'primary') return false;
    const replicas = votingMembers(group).filter(
      ({name}) => name !== primary.name,
    );
    const longest = longestLog(await memberAdmin.reports(replicas));
    return (
      longest !== undefined &&
      comparePositions(longest.report.received, report.received) >= 0
    );
  }
}

/** Returns the removed members whose log may not be on any present replica. */
function unconfirmedMembers({members}: DatabaseGroup): readonly string[] {
  return members
    .filter(({hasUnconfirmedLog}) => hasUnconfirmedLog === true)
    .map(({name}) => name);
}
