import {comparePositions} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {Member} from '@apricotlock/topology';
import {MemberAdminClient, MemberWithReport} from './member_admin_client.js';
import {longestLog} from './replication_state.js';

/** Time for a replica to catch up with a draining primary. */
const CATCH_UP_TIMEOUT_MILLISECONDS = 1_500;
const CATCH_UP_POLL_INTERVAL_MILLISECONDS = 20;

/** What the search for a replica needs. */
export interface CatchUpContext {
  readonly memberAdmin: MemberAdminClient;
  readonly timer: TimerService;
}

/**
 * Returns the candidate that has received everything that a primary holds, or
 * `undefined` if none catches up in time. No lease of the primary may remain, so
 * that its log no longer grows.
 */
export async function findCaughtUpReplica(
  primary: Member,
  candidates: readonly Member[],
  {memberAdmin, timer}: CatchUpContext,
): Promise<MemberWithReport | undefined> {
  if (candidates.length === 0) return undefined;
  const deadline = timer.now() + CATCH_UP_TIMEOUT_MILLISECONDS;
  const primaryReport = await memberAdmin.report(primary);
  const target = primaryReport.toMaybe().extract()?.received;
  if (target === undefined) return undefined;
  for (;;) {
    const candidate = longestLog(await memberAdmin.reports(candidates));
    const caughtUp =
      candidate !== undefined &&
      comparePositions(candidate.report.received, target) >= 0;
    if (caughtUp) return candidate;
    if (timer.now() >= deadline) return undefined;
    await timer.sleep(CATCH_UP_POLL_INTERVAL_MILLISECONDS);
  }
}
