import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {BackendConnection} from './backend_connection.js';
import {ConnectionPool} from './connection_pool.js';

const CHECK_PERIOD_MILLISECONDS = 250;
const PROBE_TIMEOUT_MILLISECONDS = 300;
/** An idle connection that has been silent for so long is probed. */
const IDLE_SILENCE_MILLISECONDS = 500;
/** A statement without an answer for so long raises suspicion. */
const RUNNING_SILENCE_MILLISECONDS = 400;
/** A statement that a lost member has not answered for so long is given up. */
const GONE_SILENCE_MILLISECONDS = 2_000;
/** How long a connection that was found silent counts as evidence. */
const EVIDENCE_MILLISECONDS = 5_000;

/**
 * Finds connections that have gone silent for good while new ones work. Idle
 * ones are probed by a round trip that runs nothing. A statement without an
 * answer may just be long, so its connection is judged by its like: if
 * connections of its age have gone silent, and none of its age still answers,
 * while a newer one does, it is closed, and the outcome is unknown.
 */
export class ConnectionKeeper {
  private readonly running = new Set<BackendConnection>();
  /** When silent connections were found. */
  private silentFoundAt: readonly number[] = [];
  private checking = false;
  private readonly stopChecking: Unsubscribe;

  private constructor(
    private readonly pool: ConnectionPool,
    private readonly timer: TimerService,
    private readonly memberGone: () => boolean,
  ) {
    this.stopChecking = timer.every(CHECK_PERIOD_MILLISECONDS, () => {
      if (!this.checking) void this.check();
    });
  }

  /**
   * Begins to look after the connections of a pool; `memberGone` tells whether
   * the member is unreachable in other ways too, or replaced.
   */
  static start(
    pool: ConnectionPool,
    timer: TimerService,
    memberGone: () => boolean,
  ): ConnectionKeeper {
    return new ConnectionKeeper(pool, timer, memberGone);
  }

  /** Watches a connection for as long as `exchange` is under way on it. */
  async watch<T>(
    connection: BackendConnection,
    exchange: Promise<T>,
  ): Promise<T> {
    this.running.add(connection);
    try {
      return await exchange;
    } finally {
      this.running.delete(connection);
    }
  }

  /** Whether a lent connection that is idle still answers. */
  async probeLent(connection: BackendConnection): Promise<boolean> {
    const result = await connection.probe(PROBE_TIMEOUT_MILLISECONDS);
    if (result === 'silent') this.note();
    return result === 'answered';
  }

  /** Looks after nothing any more. */
  stop(): void {
    this.stopChecking();
  }

  private async check(): Promise<void> {
    this.checking = true;
    const suspicious = this.suspects().length > 0;
    const due = this.pool.idleConnections.filter(
      connection =>
        !connection.usable ||
        suspicious ||
        connection.silentMilliseconds >= IDLE_SILENCE_MILLISECONDS,
    );
    const probed = await Promise.all(due.map(each => this.probeIdle(each)));
    const alive = due.filter((_, index) => probed[index] === true);
    this.judge(alive);
    this.checking = false;
  }

  private suspects(): readonly BackendConnection[] {
    return [...this.running].filter(
      ({silentMilliseconds}) =>
        silentMilliseconds >= RUNNING_SILENCE_MILLISECONDS,
    );
  }

  private async probeIdle(connection: BackendConnection): Promise<boolean> {
    if (!this.pool.takeThis(connection)) return false;
    const result = await connection.probe(PROBE_TIMEOUT_MILLISECONDS);
    if (result === 'answered') {
      this.pool.put(connection);
      return true;
    }
    if (result === 'silent') this.note();
    this.pool.discard(connection);
    return false;
  }

  private judge(probedAlive: readonly BackendConnection[]): void {
    const since = this.timer.now() - EVIDENCE_MILLISECONDS;
    this.silentFoundAt = this.silentFoundAt.filter(foundAt => foundAt > since);
    const suspects = this.suspects();
    const answering = [...this.running].filter(
      connection => !suspects.includes(connection),
    );
    const alive = [...probedAlive, ...answering];
    for (const suspect of suspects) {
      const {silentMilliseconds} = suspect;
      const gone =
        silentMilliseconds >= GONE_SILENCE_MILLISECONDS && this.memberGone();
      if (gone || this.forgotten(suspect, alive)) suspect.abandon();
    }
  }

  private forgotten(
    suspect: BackendConnection,
    alive: readonly BackendConnection[],
  ): boolean {
    const evidence = this.silentFoundAt.some(
      foundAt => suspect.openedAt < foundAt,
    );
    const aged = alive.some(({openedAt}) => openedAt <= suspect.openedAt);
    const fresh = alive.some(({openedAt}) => openedAt > suspect.openedAt);
    return evidence && fresh && !aged;
  }

  private note(): void {
    this.silentFoundAt = [...this.silentFoundAt, this.timer.now()];
  }
}
