import {
  ConnectError,
  MemberConnector,
  MemberTarget,
} from '@apricotlock/statement';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {WorkConnection} from './work_connection.js';

const CONNECT_TIMEOUT_MILLISECONDS = 350;
const CONNECT_RETRY_MILLISECONDS = 150;
const LIVENESS_CHECK_TIMEOUT_MILLISECONDS = 200;
/** The maximum number of connections that are opened at the same time. */
const MAXIMUM_CONCURRENT_OPENS = 2;
const IDLE_TIMEOUT_MILLISECONDS = 20_000;
/** The idle timeout at a member that is normally used by another VM. */
const SHORT_IDLE_TIMEOUT_MILLISECONDS = 1_500;
const IDLE_CHECK_INTERVAL_MILLISECONDS = 1_000;
/**
 * The pause after a member has refused a connection because it has too many. It
 * is longer than that after other errors, to leave connections to other VMs.
 */
const TOO_MANY_CONNECTIONS_RETRY_MILLISECONDS = 500;

/** The limits of a connection pool. */
export interface ConnectionLimits {
  /** The maximum number of connections, including those being opened. */
  readonly maximum: number;
  /** The number of connections that are kept open while there is no work. */
  readonly warm: number;
}

/** Options of a connection pool. */
export interface ConnectionPoolOptions {
  readonly target: MemberTarget;
  readonly connector: MemberConnector;
  readonly timer: TimerService;
  /** Called when a connection has become free. */
  readonly onAvailable: () => void;
  /** Called when a connection could not be opened. */
  readonly onConnectError: (error: ConnectError) => void;
  /** Called when a connection was opened. */
  readonly onOpened: () => void;
}

/** The connections of this VM to one member, up to a maximum number. */
export class ConnectionPool {
  private idle: readonly WorkConnection[] = [];
  private readonly checkedOut = new Set<WorkConnection>();
  private openingCount = 0;
  private requestedCount = 0;
  private limits: ConnectionLimits = {maximum: 0, warm: 0};
  private closed = false;
  private pausedUntil = 0;
  private readonly stopIdleChecks: Unsubscribe;

  private constructor(private readonly options: ConnectionPoolOptions) {
    this.stopIdleChecks = options.timer.every(
      IDLE_CHECK_INTERVAL_MILLISECONDS,
      () => this.closeUnused(),
    );
  }

  /** Creates a pool without connections. */
  static create(options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool(options);
  }

  /** The number of connections that are open or being opened. */
  get count(): number {
    return this.idle.length + this.checkedOut.size + this.openingCount;
  }

  /** The number of checked-out connections. */
  get checkedOutCount(): number {
    return this.checkedOut.size;
  }

  /**
   * Sets the number of connections that queued work needs, and opens
   * connections up to that number and the limits.
   */
  requestConnections(count: number): void {
    this.requestedCount = count;
    this.openMore();
  }

  /**
   * Sets the limits. Connections in excess of a lower maximum are closed when
   * they are checked in or have been idle too long.
   */
  setLimits(limits: ConnectionLimits): void {
    this.limits = limits;
    this.openMore();
  }

  /**
   * Checks out the most recently used idle connection, or returns `undefined`
   * if none is idle.
   */
  checkOut(): WorkConnection | undefined {
    const usable = this.idle.filter(({member}) => member.usable);
    const chosen = usable.at(-1);
    this.idle = chosen === undefined ? usable : usable.slice(0, -1);
    if (chosen !== undefined) this.checkedOut.add(chosen);
    return chosen;
  }

  /**
   * Returns a checked-out connection to the pool, or closes it if it is not
   * usable or the pool is full or closed.
   */
  checkIn(connection: WorkConnection): void {
    this.checkedOut.delete(connection);
    if (this.closed || !connection.member.usable || this.isFull) {
      connection.member.close();
      this.openMore();
      return;
    }
    connection.lastUsedAt = this.options.timer.now();
    this.idle = [...this.idle, connection];
    this.options.onAvailable();
  }

  /** Closes a checked-out connection instead of returning it to the pool. */
  discard(connection: WorkConnection): void {
    this.checkedOut.delete(connection);
    connection.member.close();
    this.openMore();
  }

  /**
   * Sends a reset on every idle connection and closes those that do not answer
   * in time. They count as checked out until then, so that no work uses them.
   */
  async checkIdle(): Promise<void> {
    const {idle} = this;
    this.idle = [];
    for (const connection of idle) this.checkedOut.add(connection);
    await Promise.all(idle.map(connection => this.check(connection)));
  }

  /** Closes all connections, including those that are checked out. */
  closeAll(): void {
    for (const {member} of [...this.idle, ...this.checkedOut]) member.close();
    this.idle = [];
  }

  /** Closes all connections and opens no new ones. */
  close(): void {
    this.closed = true;
    this.stopIdleChecks();
    this.closeAll();
  }

  private async check(connection: WorkConnection): Promise<void> {
    const answers = await connection.checkAlive(
      LIVENESS_CHECK_TIMEOUT_MILLISECONDS,
    );
    if (answers) this.checkIn(connection);
    else this.discard(connection);
  }

  private get isFull(): boolean {
    return this.count >= this.limits.maximum;
  }

  private openMore(): void {
    const {timer} = this.options;
    const {maximum, warm} = this.limits;
    if (this.closed || timer.now() < this.pausedUntil) return;
    while (
      this.openingCount < MAXIMUM_CONCURRENT_OPENS &&
      this.count < maximum
    ) {
      const ready = this.idle.length + this.openingCount;
      if (ready >= this.requestedCount && this.count >= warm) return;
      void this.openOne();
    }
  }

  private async openOne(): Promise<void> {
    const {connector, target, timer} = this.options;
    this.openingCount += 1;
    const opened = await connector.connect(
      target,
      CONNECT_TIMEOUT_MILLISECONDS,
    );
    this.openingCount -= 1;
    opened.caseOf({
      Left: error => this.handleConnectError(error),
      Right: member => {
        const connection = WorkConnection.create(member, timer.now());
        void member.ended.then(() => this.removeEnded(connection));
        this.options.onOpened();
        this.checkIn(connection);
      },
    });
    this.openMore();
  }

  private handleConnectError(error: ConnectError): void {
    if (this.closed) return;
    const {timer} = this.options;
    const isMemberFull = error.kind === 'tooManyConnections';
    const pause = isMemberFull
      ? TOO_MANY_CONNECTIONS_RETRY_MILLISECONDS
      : CONNECT_RETRY_MILLISECONDS;
    this.pausedUntil = timer.now() + pause;
    timer.once(pause + 1, () => this.openMore());
    this.options.onConnectError(error);
  }

  private removeEnded(connection: WorkConnection): void {
    this.idle = this.idle.filter(each => each !== connection);
    this.openMore();
  }

  private closeUnused(): void {
    const {warm} = this.limits;
    const limit =
      warm > 0 ? IDLE_TIMEOUT_MILLISECONDS : SHORT_IDLE_TIMEOUT_MILLISECONDS;
    const oldest = this.options.timer.now() - limit;
    const unused = this.idle.filter(({lastUsedAt}) => lastUsedAt < oldest);
    const excess = Math.max(0, this.count - warm);
    const expired = unused.slice(0, excess);
    this.idle = this.idle.filter(each => !expired.includes(each));
    for (const {member} of expired) member.close();
  }
}
