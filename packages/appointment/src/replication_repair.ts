import {TimerService} from '@apricotlock/timer';
import {Member} from '@apricotlock/topology';
import {MemberAdminClient, MemberWithReport} from './member_admin_client.js';

const MAXIMUM_ATTEMPTS = 20;
const RETRY_INTERVAL_MILLISECONDS = 300;

/** What the repair of replication needs. */
export interface ReplicationRepairContext {
  readonly memberAdmin: MemberAdminClient;
  readonly timer: TimerService;
  /**
   * Returns whether another primary has been assigned, or this VM leads no
   * longer.
   */
  readonly isSuperseded: () => boolean;
  /**
   * Returns whether members may be released now. They may not while a later
   * failover selects a primary, which counts on those that it has fenced.
   */
  readonly mayRelease: () => boolean;
}

/**
 * Releases members from fencing after a promotion, so that they replicate again,
 * and demotes any that still act as a primary. Resolves to the members that could
 * not be reached; to none if the promotion was superseded meanwhile.
 */
export async function restoreReplication(
  members: readonly Member[],
  term: number,
  context: ReplicationRepairContext,
): Promise<readonly Member[]> {
  const {memberAdmin, timer, isSuperseded} = context;
  let pending = members;
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
    if (isSuperseded()) return [];
    for (const reported of await memberAdmin.reports(pending)) {
      if (isSuperseded()) return [];
      const {member} = reported;
      if (await restoreMember(reported, term, context)) {
        pending = pending.filter(each => each !== member);
      }
    }
    if (pending.length === 0) return [];
    await timer.sleep(RETRY_INTERVAL_MILLISECONDS);
  }
  return pending;
}

async function restoreMember(
  {member, report}: MemberWithReport,
  term: number,
  {memberAdmin, mayRelease}: ReplicationRepairContext,
): Promise<boolean> {
  const done =
    report.role === 'primary'
      ? await memberAdmin.stepDown(member, term)
      : await memberAdmin.release(member, mayRelease);
  return done.isRight();
}
