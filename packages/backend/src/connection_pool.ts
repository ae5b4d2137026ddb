import {Either, Left, Right} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {BackendConnectionError, OpenedBackend} from '@apricotlock/wire';
import {BackendConnection} from './backend_connection.js';

const RETRY_OPENING_MILLISECONDS = 100;

/** Why there is no connection. */
export type PoolError =
  | {readonly kind: 'overloaded'; readonly retryAfterMilliseconds: number}
  | {readonly kind: 'unreachable'};

/** Opens a connection to the pool's member. */
export type OpenConnection = () => Promise<
  Either<BackendConnectionError, OpenedBackend>
>;

/** How many connections and waiting requests a pool may have. */
export interface PoolLimits {
  readonly connections: number;
  readonly queueLength: number;
}

interface Waiting {
  readonly turn: Deferred<Either<PoolError, BackendConnection>>;
}

/** The connections to one member, and the requests that wait for one. */
export class ConnectionPool {
  private idle: readonly BackendConnection[] = [];
  private waiting: readonly Waiting[] = [];
  /** Connections that are open or being opened. */
  private open = 0;
  private closed = false;

  private constructor(
    private readonly opening: OpenConnection,
    private limits: PoolLimits,
    private readonly timer: TimerService,
  ) {}

  /** A pool without connections. */
  static create(
    opening: OpenConnection,
    limits: PoolLimits,
    timer: TimerService,
  ): ConnectionPool {
    return new ConnectionPool(opening, limits, timer);
  }

  /** Takes over new limits; connections over them go when given back. */
  setLimits(limits: PoolLimits): void {
    this.limits = limits;
  }

  /** Takes a connection, after waiting for one at most this long. */
  async take(
    queueMilliseconds: number,
  ): Promise<Either<PoolError, BackendConnection>> {
    const idle = this.takeIdle();
    if (idle !== undefined) return Right(idle);
    if (this.waiting.length >= this.limits.queueLength) {
      return Left(overloaded(queueMilliseconds));
    }
    const request: Waiting = {turn: Deferred.create()};
    this.waiting = [...this.waiting, request];
    const stopAlarm = this.timer.once(queueMilliseconds, () => {
      this.waiting = this.waiting.filter(other => other !== request);
      request.turn.resolve(Left(overloaded(queueMilliseconds)));
    });
    this.openIfNeeded();
    const result = await request.turn.promise;
    stopAlarm();
    return result;
  }

  /** Gives a connection back; it is cleaned before anybody else has it. */
  async giveBack(connection: BackendConnection): Promise<void> {
    const clean = await connection.clean();
    const wanted = !this.closed && this.open <= this.limits.connections;
    if (clean && wanted) this.offer(connection);
    else this.discard(connection);
  }

  /** Closes a connection that cannot be used any more. */
  discard(connection: BackendConnection): void {
    connection.close();
    this.open -= 1;
    this.openIfNeeded();
  }

  /** Opens connections ahead of need, up to `count`. */
  warm(count: number): void {
    const missing = Math.min(count, this.limits.connections) - this.open;
    for (let index = 0; index < missing; index++) void this.openOne();
  }

  /** Closes what is idle and refuses what waits. */
  close(): void {
    this.closed = true;
    for (const connection of this.idle) this.discard(connection);
    this.idle = [];
    this.refuseWaiting({kind: 'unreachable'});
  }

  private takeIdle(): BackendConnection | undefined {
    for (;;) {
      const connection = this.idle[this.idle.length - 1];
      if (connection === undefined) return undefined;
      this.idle = this.idle.slice(0, -1);
      if (connection.usable) return connection;
      this.discard(connection);
    }
  }

  private offer(connection: BackendConnection): void {
    const [next, ...rest] = this.waiting;
    if (next === undefined) {
      this.idle = [...this.idle, connection];
      return;
    }
    this.waiting = rest;
    next.turn.resolve(Right(connection));
  }

  private openIfNeeded(): void {
    if (this.closed || this.waiting.length === 0) return;
    if (this.open < this.limits.connections) void this.openOne();
  }

  private async openOne(): Promise<void> {
    this.open += 1;
    const opened = await this.opening();
    if (opened.isRight()) {
      const connection = BackendConnection.of(opened.unsafeCoerce());
      if (this.closed) this.discard(connection);
      else this.offer(connection);
      return;
    }
    this.open -= 1;
    const failure = opened.extract() as BackendConnectionError;
    if (failure.kind !== 'refused') {
      this.refuseWaiting({kind: 'unreachable'});
      return;
    }
    // The member has no connection to give now: another may hold them.
    this.timer.once(RETRY_OPENING_MILLISECONDS, () => this.openIfNeeded());
  }

  private refuseWaiting(error: PoolError): void {
    const refused = this.waiting;
    this.waiting = [];
    for (const request of refused) request.turn.resolve(Left(error));
  }
}

function overloaded(queueMilliseconds: number): PoolError {
  return {kind: 'overloaded', retryAfterMilliseconds: queueMilliseconds};
}
