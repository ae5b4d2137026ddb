import {Either} from 'purify-ts';
import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {BackendConnectionError, OpenedBackend} from '@apricotlock/wire';
import {BackendConnection} from './backend_connection.js';

const OPENING_RETRY_DELAY_MILLISECONDS = 100;
const OPENING_TIMEOUT_MILLISECONDS = 1_500;
const MAXIMUM_CONCURRENT_OPENINGS = 4;

/**
 * Opens a connection to the pool's member. An abort makes the attempt end
 * early.
 */
export type OpenConnection = (
  abort: AbortSignal,
) => Promise<Either<BackendConnectionError, OpenedBackend>>;

/**
 * The connections to one member. The pool opens connections only up to its
 * maximum, and counts those being opened. Only a few are opened at a time, so
 * that a member that is slow to accept connections is not flooded. A
 * configurable number is kept open in advance.
 */
export class ConnectionPool {
  private idle: readonly BackendConnection[] = [];
  /** Number of connections that are open or being opened. */
  private connectionCount = 0;
  private openingCount = 0;
  private usableCount = 0;
  private warmCount = 0;
  private maximum = 0;
  private closed = false;
  private cancelRetryDelay: Unsubscribe | undefined;
  private notifyChange: () => void = () => undefined;
  private notifyUnreachable: () => void = () => undefined;

  private constructor(
    private readonly openConnection: OpenConnection,
    private readonly timer: TimerService,
  ) {}

  /** Creates an empty pool whose maximum is zero. */
  static create(open: OpenConnection, timer: TimerService): ConnectionPool {
    return new ConnectionPool(open, timer);
  }

  /**
   * Sets the listener that is called whenever a connection may have become
   * available.
   */
  onChange(listener: () => void): void {
    this.notifyChange = listener;
  }

  /**
   * Sets the listener that is called when no connection is open and opening one
   * has failed.
   */
  onUnreachable(listener: () => void): void {
    this.notifyUnreachable = listener;
  }

  /** Number of connections that are open or being opened. */
  get openCount(): number {
    return this.connectionCount;
  }

  /** Connections that are not in use, the last used one at the end. */
  get idleConnections(): readonly BackendConnection[] {
    return this.idle;
  }

  /**
   * Sets the maximum number of connections. Idle connections above it are
   * closed immediately, those in use when they are released.
   */
  setMaximum(maximum: number): void {
    this.maximum = maximum;
    while (this.connectionCount > maximum && this.idle.length > 0) {
      const [first] = this.idle;
      this.discard(first as BackendConnection);
    }
    this.openMore();
  }

  /** Sets the number of connections that are kept open in advance. */
  keepWarm(count: number): void {
    this.warmCount = count;
    this.openMore();
  }

  /** Sets how many connections could be put to use now if they were open. */
  setUsableCount(count: number): void {
    this.usableCount = count;
    if (count > 0) this.openMore();
  }

  /**
   * Removes the most recently used idle connection from the pool and returns
   * it; `undefined` if there is none.
   */
  acquire(): BackendConnection | undefined {
    for (;;) {
      const connection = this.idle[this.idle.length - 1];
      if (connection === undefined) return undefined;
      this.idle = this.idle.slice(0, -1);
      if (connection.usable) return connection;
      this.closeConnection(connection);
    }
  }

  /**
   * Removes the given connection from the idle ones; `false` if it is not
   * idle.
   */
  acquireIdle(connection: BackendConnection): boolean {
    const others = this.idle.filter(other => other !== connection);
    if (others.length === this.idle.length) return false;
    this.idle = others;
    return true;
  }

  /** Returns a clean connection to the pool, or adds a new one. */
  release(connection: BackendConnection): void {
    if (
      this.closed ||
      this.connectionCount > this.maximum ||
      !connection.usable
    ) {
      this.discard(connection);
      return;
    }
    this.idle = [...this.idle, connection];
    this.notifyChange();
  }

  /** Closes a connection that is unusable or not needed. */
  discard(connection: BackendConnection): void {
    this.acquireIdle(connection);
    this.closeConnection(connection);
    this.openMore();
    this.notifyChange();
  }

  /** Closes idle connections; those in use are closed when released. */
  close(): void {
    this.closed = true;
    this.cancelRetryDelay?.();
    for (const connection of this.idle) this.closeConnection(connection);
    this.idle = [];
  }

  private closeConnection(connection: BackendConnection): void {
    connection.close();
    this.connectionCount -= 1;
  }

  private openMore(): void {
    if (this.closed || this.cancelRetryDelay !== undefined) return;
    while (this.openingCount < MAXIMUM_CONCURRENT_OPENINGS && this.needsMore) {
      void this.openOne();
    }
  }

  private get needsMore(): boolean {
    if (this.connectionCount >= this.maximum) return false;
    const available = this.idle.length + this.openingCount;
    return (
      available < this.usableCount || this.connectionCount < this.warmCount
    );
  }

  private async openOne(): Promise<void> {
    this.connectionCount += 1;
    this.openingCount += 1;
    const abort = new AbortController();
    const attempt = this.openConnection(abort.signal);
    const timeout = OPENING_TIMEOUT_MILLISECONDS;
    const outcome = await withTimeout(this.timer, timeout, attempt);
    if (outcome === TIMED_OUT) abort.abort();
    // The attempt counts against the maximum until it has ended.
    const opened = outcome === TIMED_OUT ? await attempt : outcome;
    this.openingCount -= 1;
    opened.caseOf({
      Left: failure => this.handleOpeningFailure(failure),
      Right: backend =>
        this.release(BackendConnection.create(backend, this.timer)),
    });
    this.openMore();
  }

  /**
   * Retries after a delay, and notifies the listener if no connection is left.
   * A refusal by the member is not an outage: connections of the previous owner
   * may still be open and occupy its limit.
   */
  private handleOpeningFailure(failure: BackendConnectionError): void {
    this.connectionCount -= 1;
    if (
      failure.kind !== 'refused' &&
      this.connectionCount === this.openingCount
    ) {
      this.notifyUnreachable();
    }
    this.scheduleRetry();
  }

  private scheduleRetry(): void {
    if (this.closed || this.cancelRetryDelay !== undefined) return;
    this.cancelRetryDelay = this.timer.once(
      OPENING_RETRY_DELAY_MILLISECONDS,
      () => {
        this.cancelRetryDelay = undefined;
        this.openMore();
        this.notifyChange();
      },
    );
  }
}
