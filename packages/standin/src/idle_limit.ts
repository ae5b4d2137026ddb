import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {AcceptedCaller, errorResponse, SqlState} from '@apricotlock/wire';

/**
 * Reads the next bytes. Returns `undefined` once the client has disconnected,
 * or has been idle for longer than its session's timeout. An idle client is
 * first sent PostgreSQL's error for an idle session, also in a transaction.
 */
export async function readWithinIdleLimit(
  {stream, parameters}: AcceptedCaller,
  inTransaction: boolean,
  timer: TimerService,
): Promise<Buffer | undefined> {
  const limit = inTransaction
    ? parameters['idle_in_transaction_session_timeout']
    : parameters['idle_session_timeout'];
  const milliseconds = Number(limit ?? 0);
  if (!(milliseconds > 0)) return stream.read();
  const read = await withTimeout(timer, milliseconds, stream.read());
  if (read !== TIMED_OUT) return read;
  stream.write(
    errorResponse({
      severity: 'FATAL',
      code: SqlState.IDLE_SESSION_TIMEOUT,
      message: 'terminating connection due to idle-session timeout',
    }),
  );
  return undefined;
}
