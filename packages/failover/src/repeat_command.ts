import {Either} from 'purify-ts';
import {MemberError, MemberStatus} from '@apricotlock/member';
import {TimerService} from '@apricotlock/timer';

/** How long one attempt waits: the connection may have gone silent. */
const ATTEMPT_MILLISECONDS = 400;
/** How long a member may take, on a disk that stalls, before it is given up. */
const COMMAND_LIMIT_MILLISECONDS = 1_600;

/** Sends a command once, and waits so long for its answer. */
export type CommandAttempt = (
  timeoutMilliseconds: number,
) => Promise<Either<MemberError, MemberStatus>>;

/**
 * Repeats an idempotent command while nothing comes back. A member that syncs
 * to a slow disk answers an early attempt late and the next one at once; a
 * command of a later term instead would have it sync anew each time.
 */
export async function repeatCommand(
  timer: TimerService,
  attempt: CommandAttempt,
): Promise<Either<MemberError, MemberStatus>> {
  const deadline = timer.now() + COMMAND_LIMIT_MILLISECONDS;
  for (;;) {
    const answer = await attempt(ATTEMPT_MILLISECONDS);
    const silent = answer.swap().toMaybe().extract()?.kind === 'timedOut';
    if (!silent || timer.now() >= deadline) return answer;
  }
}
