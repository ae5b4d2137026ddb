import {Either} from 'purify-ts';
import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {BackendConnectionError, OpenedBackend} from '@apricotlock/wire';
import {BackendConnection} from './backend_connection.js';

const RETRY_OPENING_MILLISECONDS = 100;
const OPENING_TIMEOUT_MILLISECONDS = 1_500;
const MAXIMUM_OPENING = 4;

/** Opens a connection to the pool's member; given up once aborted. */
export type OpenConnection = (
  abort: AbortSignal,
) => Promise<Either<BackendConnectionError, OpenedBackend>>;

/**
 * The connections to one member. It never has more than its maximum, those
 * being opened included, and opens a few at a time: a member that is slow to
 * open them is not flooded. It keeps some open ahead of need.
 */
export class ConnectionPool {
  private idle: readonly BackendConnection[] = [];
  /** Connections that are open or being opened. */
  private open = 0;
  private opening = 0;
  private wanted = 0;
  private warmCount = 0;
  private maximum = 0;
  private closed = false;
  private stopPause: Unsubscribe | undefined;
  private changed: () => void = () => undefined;
  private unreachable: () => void = () => undefined;

  private constructor(
    private readonly openConnection: OpenConnection,
    private readonly timer: TimerService,
  ) {}

  /** A pool without connections. */
  static create(open: OpenConnection, timer: TimerService): ConnectionPool {
    return new ConnectionPool(open, timer);
  }

  /** Calls `listener` whenever a connection may have become free. */
  onChange(listener: () => void): void {
    this.changed = listener;
  }

  /** Calls `listener` when there is no connection and none can be opened. */
  onUnreachable(listener: () => void): void {
    this.unreachable = listener;
  }

  /** Connections that are open or being opened. */
  get openCount(): number {
    return this.open;
  }

  /** Connections that nobody has. */
  get idleConnections(): readonly BackendConnection[] {
    return this.idle;
  }

  /** Sets how many there may be; those over it go when given back. */
  setMaximum(maximum: number): void {
    this.maximum = maximum;
    while (this.open > maximum && this.idle.length > 0) {
      const [first] = this.idle;
      this.discard(first as BackendConnection);
    }
    this.openMore();
  }

  /** Keeps this many open ahead of need. */
  keepWarm(count: number): void {
    this.warmCount = count;
    this.openMore();
  }

  /** Sets how many could be used at once if they were open. */
  want(count: number): void {
    this.wanted = count;
    if (count > 0) this.openMore();
  }

  /** Takes the connection that was used last. */
  take(): BackendConnection | undefined {
    for (;;) {
      const connection = this.idle[this.idle.length - 1];
      if (connection === undefined) return undefined;
      this.idle = this.idle.slice(0, -1);
      if (connection.usable) return connection;
      this.drop(connection);
    }
  }

  /** Takes one certain connection, unless somebody has it. */
  takeThis(connection: BackendConnection): boolean {
    const others = this.idle.filter(other => other !== connection);
    if (others.length === this.idle.length) return false;
    this.idle = others;
    return true;
  }

  /** Puts a clean connection back. */
  put(connection: BackendConnection): void {
    if (this.closed || this.open > this.maximum || !connection.usable) {
      this.discard(connection);
      return;
    }
    this.idle = [...this.idle, connection];
    this.changed();
  }

  /** Closes a connection that cannot be used any more. */
  discard(connection: BackendConnection): void {
    this.takeThis(connection);
    this.drop(connection);
    this.openMore();
    this.changed();
  }

  /** Closes what is idle; what is lent goes when given back. */
  close(): void {
    this.closed = true;
    this.stopPause?.();
    for (const connection of this.idle) this.drop(connection);
    this.idle = [];
  }

  private drop(connection: BackendConnection): void {
    connection.close();
    this.open -= 1;
  }

  private openMore(): void {
    if (this.closed || this.stopPause !== undefined) return;
    while (this.opening < MAXIMUM_OPENING && this.wantsMore) {
      void this.openOne();
    }
  }

  private get wantsMore(): boolean {
    if (this.open >= this.maximum) return false;
    const coming = this.idle.length + this.opening;
    return coming < this.wanted || this.open < this.warmCount;
  }

  private async openOne(): Promise<void> {
    this.open += 1;
    this.opening += 1;
    const abort = new AbortController();
    const work = this.openConnection(abort.signal);
    const timeout = OPENING_TIMEOUT_MILLISECONDS;
    const inTime = await withTimeout(this.timer, timeout, work);
    if (inTime === TIMED_OUT) abort.abort();
    // Its place is free only once the attempt is surely over.
    const opened = inTime === TIMED_OUT ? await work : inTime;
    this.opening -= 1;
    opened.caseOf({
      Left: failure => this.failed(failure),
      Right: backend => this.put(BackendConnection.of(backend, this.timer)),
    });
    this.openMore();
  }

  /**
   * A member that refuses has no connection to give now, and is no outage:
   * the previous owner's may not be closed yet.
   */
  private failed(failure: BackendConnectionError): void {
    this.open -= 1;
    if (failure.kind !== 'refused' && this.open === this.opening) {
      this.unreachable();
    }
    this.pause();
  }

  private pause(): void {
    if (this.closed || this.stopPause !== undefined) return;
    this.stopPause = this.timer.once(RETRY_OPENING_MILLISECONDS, () => {
      this.stopPause = undefined;
      this.openMore();
      this.changed();
    });
  }
}
