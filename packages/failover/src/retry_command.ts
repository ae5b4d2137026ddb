import {Either} from 'purify-ts';
import {MemberError, MemberStatus} from '@apricotlock/member';
import {TimerService} from '@apricotlock/timer';

/** Short, because the connection of an attempt may have become unresponsive. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 400;
/** No attempt starts later than this; allows for a member whose disk stalls. */
const RETRY_PERIOD_MILLISECONDS = 1_600;

/** Sends a command once and waits for the answer until the timeout. */
export type CommandAttempt = (
  timeoutMilliseconds: number,
) => Promise<Either<MemberError, MemberStatus>>;

/**
 * Repeats an idempotent command while it times out, and resolves with the last
 * answer. A member that syncs to a slow disk misses the first timeout but
 * answers a later attempt immediately. A command of a new term would require
 * another sync each time.
 */
export async function retryCommand(
  timer: TimerService,
  attempt: CommandAttempt,
): Promise<Either<MemberError, MemberStatus>> {
  const deadline = timer.now() + RETRY_PERIOD_MILLISECONDS;
  for (;;) {
    const answer = await attempt(ATTEMPT_TIMEOUT_MILLISECONDS);
    const hasTimedOut = answer.swap().toMaybe().extract()?.kind === 'timedOut';
    if (!hasTimedOut || timer.now() >= deadline) return answer;
  }
}
