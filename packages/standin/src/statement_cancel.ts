import {randomInt} from 'node:crypto';
import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {AcceptError, SqlState} from '@apricotlock/wire';
import {SqlError} from './sql_error.js';

const MAXIMUM_SECRET = 2 ** 31;

let nextProcessId = 1;
const sessions = new Map<number, StatementCancel>();

/** Lets other connections cancel what a session waits for. */
export class StatementCancel {
  readonly processId = nextProcessId++;
  readonly secret = randomInt(MAXIMUM_SECRET);
  private cancelled = Deferred.create<void>();

  private constructor(private readonly timer: TimerService) {}

  /** Begins to take cancel requests for a new session. */
  static register(timer: TimerService): StatementCancel {
    const cancel = new StatementCancel(timer);
    sessions.set(cancel.processId, cancel);
    return cancel;
  }

  /** Carries out a cancel request; any other refusal is none. */
  static takeRequest(error: AcceptError): void {
    if (error.kind !== 'cancelRequest') return;
    const {processId, secret} = error.request;
    const session = sessions.get(processId);
    if (session?.secret === secret) session.cancelled.resolve();
  }

  /** A statement begins: earlier requests are none of its business. */
  statementBegins(): void {
    this.cancelled = Deferred.create();
  }

  /** Sleeps unless the statement is cancelled. Throws SqlError then. */
  async sleep(milliseconds: number): Promise<void> {
    const cancelled = this.cancelled.promise;
    const outcome = await withTimeout(this.timer, milliseconds, cancelled);
    if (outcome === TIMED_OUT) return;
    throw SqlError.of(
      SqlState.QUERY_CANCELED,
      'canceling statement due to user request',
    );
  }

  /** The session is over. */
  unregister(): void {
    sessions.delete(this.processId);
  }
}
