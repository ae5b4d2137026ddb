import {randomInt} from 'node:crypto';
import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {AcceptError, SqlState} from '@apricotlock/wire';
import {SqlError} from './sql_error.js';

const SECRET_UPPER_BOUND = 2 ** 31;

let nextProcessId = 1;
const sessions = new Map<number, StatementCancel>();

/** Lets other connections cancel the wait of a session's statement. */
export class StatementCancel {
  readonly processId = nextProcessId++;
  readonly secret = randomInt(SECRET_UPPER_BOUND);
  private cancelled = Deferred.create<void>();

  private constructor(private readonly timer: TimerService) {}

  /** Registers a new session for cancel requests. */
  static register(timer: TimerService): StatementCancel {
    const cancel = new StatementCancel(timer);
    sessions.set(cancel.processId, cancel);
    return cancel;
  }

  /** Carries out a cancel request; ignores other errors. */
  static handleRequest(error: AcceptError): void {
    if (error.kind !== 'cancelRequest') return;
    const {processId, secret} = error.request;
    const session = sessions.get(processId);
    if (session?.secret === secret) session.cancelled.resolve();
  }

  /** Begins a statement, which earlier cancel requests do not affect. */
  beginStatement(): void {
    this.cancelled = Deferred.create();
  }

  /** Sleeps. Throws SqlError if the statement is cancelled before the end. */
  async sleep(milliseconds: number): Promise<void> {
    const cancellation = this.cancelled.promise;
    const outcome = await withTimeout(this.timer, milliseconds, cancellation);
    if (outcome === TIMED_OUT) return;
    throw SqlError.of(
      SqlState.QUERY_CANCELED,
      'canceling statement due to user request',
    );
  }

  /** Stops accepting cancel requests for the session. */
  unregister(): void {
    sessions.delete(this.processId);
  }
}
