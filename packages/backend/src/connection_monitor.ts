import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {BackendConnection} from './backend_connection.js';
import {ConnectionPool} from './connection_pool.js';

const CHECK_INTERVAL_MILLISECONDS = 250;
const PROBE_TIMEOUT_MILLISECONDS = 300;
/** An idle connection is probed after receiving nothing for this long. */
const IDLE_PROBE_THRESHOLD_MILLISECONDS = 500;
/**
 * A connection that runs a statement is a suspect after receiving nothing for
 * this long.
 */
const SUSPECT_THRESHOLD_MILLISECONDS = 400;
/**
 * If the member is lost, a connection that runs a statement is abandoned after
 * receiving nothing for this long.
 */
const LOST_MEMBER_THRESHOLD_MILLISECONDS = 2_000;
/**
 * How long an unanswered probe counts against suspects that were opened before
 * it.
 */
const UNANSWERED_PROBE_LIFETIME_MILLISECONDS = 5_000;

/**
 * Detects connections that no longer receive replies while newer connections to
 * the same member work. Idle connections are probed by a round trip that runs
 * no statement. A statement without an answer may only be slow, so its
 * connection is compared with others: it is closed, with an unknown outcome, if
 * a probe has gone unanswered since it was opened, no connection of at least
 * its age still replies, and a newer one does.
 */
export class ConnectionMonitor {
  private readonly runningConnections = new Set<BackendConnection>();
  /** Times at which probes timed out, on the timer's clock. */
  private unansweredProbeTimes: readonly number[] = [];
  private checking = false;
  private readonly stopChecking: Unsubscribe;

  private constructor(
    private readonly pool: ConnectionPool,
    private readonly timer: TimerService,
    private readonly isMemberLost: () => boolean,
  ) {
    this.stopChecking = timer.every(CHECK_INTERVAL_MILLISECONDS, () => {
      if (!this.checking) void this.check();
    });
  }

  /**
   * Starts checking the connections of a pool. `isMemberLost` returns whether
   * the member is otherwise known to be unreachable, or has been replaced.
   */
  static start(
    pool: ConnectionPool,
    timer: TimerService,
    isMemberLost: () => boolean,
  ): ConnectionMonitor {
    return new ConnectionMonitor(pool, timer, isMemberLost);
  }

  /** Monitors a connection until `exchange`, which runs on it, settles. */
  async watch<T>(
    connection: BackendConnection,
    exchange: Promise<T>,
  ): Promise<T> {
    this.runningConnections.add(connection);
    try {
      return await exchange;
    } finally {
      this.runningConnections.delete(connection);
    }
  }

  /**
   * Resolves to whether a leased connection without a statement still replies.
   */
  async probeLeased(connection: BackendConnection): Promise<boolean> {
    const result = await connection.probe(PROBE_TIMEOUT_MILLISECONDS);
    if (result === 'silent') this.recordUnansweredProbe();
    return result === 'answered';
  }

  /** Stops the periodic checks. */
  stop(): void {
    this.stopChecking();
  }

  private async check(): Promise<void> {
    this.checking = true;
    const hasSuspects = this.findSuspects().length > 0;
    const probeTargets = this.pool.idleConnections.filter(
      connection =>
        !connection.usable ||
        hasSuspects ||
        connection.silentMilliseconds >= IDLE_PROBE_THRESHOLD_MILLISECONDS,
    );
    const probeResults = await Promise.all(
      probeTargets.map(connection => this.probeIdle(connection)),
    );
    const alive = probeTargets.filter(
      (_, index) => probeResults[index] === true,
    );
    this.abandonDeadConnections(alive);
    this.checking = false;
  }

  private findSuspects(): readonly BackendConnection[] {
    return [...this.runningConnections].filter(
      ({silentMilliseconds}) =>
        silentMilliseconds >= SUSPECT_THRESHOLD_MILLISECONDS,
    );
  }

  private async probeIdle(connection: BackendConnection): Promise<boolean> {
    if (!this.pool.acquireIdle(connection)) return false;
    const result = await connection.probe(PROBE_TIMEOUT_MILLISECONDS);
    if (result === 'answered') {
      this.pool.release(connection);
      return true;
    }
    if (result === 'silent') this.recordUnansweredProbe();
    this.pool.discard(connection);
    return false;
  }

  private abandonDeadConnections(
    probedAlive: readonly BackendConnection[],
  ): void {
    const expiredBefore =
      this.timer.now() - UNANSWERED_PROBE_LIFETIME_MILLISECONDS;
    this.unansweredProbeTimes = this.unansweredProbeTimes.filter(
      probeTime => probeTime > expiredBefore,
    );
    const suspects = this.findSuspects();
    const answering = [...this.runningConnections].filter(
      connection => !suspects.includes(connection),
    );
    const alive = [...probedAlive, ...answering];
    for (const suspect of suspects) {
      const {silentMilliseconds} = suspect;
      const memberLost =
        silentMilliseconds >= LOST_MEMBER_THRESHOLD_MILLISECONDS &&
        this.isMemberLost();
      if (memberLost || this.isDead(suspect, alive)) suspect.abandon();
    }
  }

  private isDead(
    suspect: BackendConnection,
    alive: readonly BackendConnection[],
  ): boolean {
    const hasUnansweredProbe = this.unansweredProbeTimes.some(
      probeTime => suspect.openedAt < probeTime,
    );
    const olderAnswers = alive.some(
      ({openedAt}) => openedAt <= suspect.openedAt,
    );
    const newerAnswers = alive.some(
      ({openedAt}) => openedAt > suspect.openedAt,
    );
    return hasUnansweredProbe && newerAnswers && !olderAnswers;
  }

  private recordUnansweredProbe(): void {
    this.unansweredProbeTimes = [
      ...this.unansweredProbeTimes,
      this.timer.now(),
    ];
  }
}
