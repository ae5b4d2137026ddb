import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {OperationQuota} from '@apricotlock/quota';
import {CallerConnection} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {ClusterView} from '@apricotlock/topology';
import {Authenticator} from './authenticator.js';
import {DrainLimits} from './session_drain.js';
import {SessionObserver} from './session_observer.js';
import {SessionActivity} from './session_progress.js';
import {StatementRouter} from './statement_router.js';
import {StatementSession} from './statement_session.js';
import {ViewFreshness} from './view_freshness.js';

const DRAIN_POLL_MILLISECONDS = 20;
/**
 * How long callers have to close connections that this VM has closed. A caller
 * that has sent more in the meantime could otherwise lose its last answer to a
 * reset of the connection.
 */
const LINGER_MILLISECONDS = 300;

/** Dependencies of the session host. */
export interface SessionHostOptions {
  readonly view: Observable<ClusterView>;
  readonly router: StatementRouter;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly observer: SessionObserver;
  /** If omitted, the view is regarded as the newest one. */
  readonly freshness?: ViewFreshness | undefined;
  /** If omitted, the operations of organisations are not limited. */
  readonly quota?: OperationQuota | undefined;
}

/** How many sessions there are of each activity. */
export type SessionCounts = Readonly<Partial<Record<SessionActivity, number>>>;

/** Runs the sessions of the callers of this VM. */
export class SessionHost {
  private readonly sessions = new Set<StatementSession>();
  /** Connections that have not ended; their sessions may have. */
  private readonly connections = new Set<CallerConnection>();
  private limits: DrainLimits | undefined;
  private readonly authenticator: Authenticator;

  private constructor(private readonly options: SessionHostOptions) {
    this.authenticator = Authenticator.create(options);
  }

  /** Creates a host without sessions. */
  static create(options: SessionHostOptions): SessionHost {
    return new SessionHost(options);
  }

  /** The number of connected callers. */
  get count(): number {
    return this.sessions.size;
  }

  /** Serves a caller's connection until it ends. */
  async serve(link: CallerConnection): Promise<void> {
    const session = StatementSession.create({
      ...this.options,
      authenticator: this.authenticator,
      link,
    });
    this.sessions.add(session);
    this.connections.add(link);
    void link.ended.then(() => {
      this.connections.delete(link);
      this.recordConnectionEnd(session);
    });
    if (this.limits !== undefined) void session.drain(this.limits);
    try {
      await session.run();
    } catch (failure) {
      this.options.logger.error(
        'caller session failed with an unexpected error',
        {
          failure: failure instanceof Error ? failure.stack : String(failure),
        },
      );
      link.close();
    } finally {
      this.sessions.delete(session);
    }
  }

  /**
   * Ends the sessions that are idle and began before a given time, so that
   * their callers reconnect. Returns their number.
   */
  closeIdle(before: number): number {
    const idle = [...this.sessions].filter(
      ({busy, progress}) => !busy && progress.begunAt < before,
    );
    for (const session of idle) void session.drain();
    return idle.length;
  }

  /**
   * Ends idle sessions, and the others as they become idle or at the end of the
   * limits. Resolves to the number of sessions that were busy then. No
   * connection may be served after the call, except those served already.
   */
  async drain(limits: DrainLimits): Promise<number> {
    const {timer} = this.options;
    this.limits = limits;
    await Promise.all([...this.sessions].map(session => session.drain(limits)));
    while (this.busyCount > 0 && timer.now() < limits.endsAt) {
      await timer.sleep(DRAIN_POLL_MILLISECONDS);
    }
    const interrupted = this.busyCount;
    await Promise.all([...this.sessions].map(session => session.abandon()));
    await this.waitForConnectionsToEnd(limits.lingersUntil);
    return interrupted;
  }

  /**
   * Waits until callers have closed the connections that this VM has closed,
   * for a short time; until the deadline if answers are still unsent.
   */
  private async waitForConnectionsToEnd(deadline: number): Promise<void> {
    const {timer} = this.options;
    const lingersUntil = Math.min(timer.now() + LINGER_MILLISECONDS, deadline);
    while (this.connections.size > 0) {
      const limit = this.hasUnsentAnswers ? deadline : lingersUntil;
      if (timer.now() >= limit) return;
      await timer.sleep(DRAIN_POLL_MILLISECONDS);
    }
  }

  private get hasUnsentAnswers(): boolean {
    return [...this.connections].some(({hasUnsentAnswer}) => hasUnsentAnswer);
  }

  /** Returns how many sessions there are of each activity. */
  countActivities(): SessionCounts {
    const counts: Partial<Record<SessionActivity, number>> = {};
    for (const session of this.sessions) {
      const {activity} = session.snapshot();
      counts[activity] = (counts[activity] ?? 0) + 1;
    }
    return counts;
  }

  /**
   * Logs what the session was doing if its connection ends while this VM stops.
   * Idle sessions are only counted, as a VM may have thousands.
   */
  private recordConnectionEnd(session: StatementSession): void {
    if (this.limits === undefined) return;
    const {activity, forMilliseconds, ageMilliseconds, lastRequest} =
      session.snapshot();
    if (activity === 'idle' || activity === 'ended') return;
    this.options.logger.warn('a connection ended while this VM stops', {
      activity,
      for: forMilliseconds,
      age: ageMilliseconds,
      request: lastRequest,
    });
  }

  private get busyCount(): number {
    return [...this.sessions].filter(({busy}) => busy).length;
  }
}
