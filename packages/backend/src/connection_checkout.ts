import {TimerService} from '@apricotlock/timer';
import {BackendConnection} from './backend_connection.js';
import {ConnectionPool} from './connection_pool.js';

/**
 * How long cleaning a connection may wait for a slot before the connection is
 * closed instead.
 */
const CLEANUP_SLOT_TIMEOUT_MILLISECONDS = 2_000;
/**
 * How long the slot of an abandoned statement stays occupied, since the member
 * may still be running it.
 */
const ABANDONED_SLOT_HOLD_MILLISECONDS = 1_000;

/** The scheduler's side of one {@link ConnectionCheckout}. */
export interface CheckoutListener {
  readonly timer: TimerService;
  readonly pool: ConnectionPool;
  /** Waits for a slot; `false` if none became available in time. */
  waitForSlot(waitMilliseconds: number): Promise<boolean>;
  /** Records that a statement released its slot after holding it this long. */
  recordStatementEnd(heldMilliseconds: number): void;
  /** Records that the lease ended after holding its connection this long. */
  recordLeaseEnd(heldMilliseconds: number): void;
}

/**
 * A connection that is checked out of the pool for one lease, with a slot while
 * a statement runs.
 */
export class ConnectionCheckout {
  private readonly leasedAt: number;
  private slotAcquiredAt: number | undefined;
  private ended = false;

  private constructor(
    readonly connection: BackendConnection,
    private readonly listener: CheckoutListener,
  ) {
    this.leasedAt = listener.timer.now();
    this.slotAcquiredAt = this.leasedAt;
  }

  /** Starts a checkout that already has a slot. */
  static start(
    connection: BackendConnection,
    listener: CheckoutListener,
  ): ConnectionCheckout {
    return new ConnectionCheckout(connection, listener);
  }

  /**
   * Waits for a slot unless the checkout has one; `false` if none became
   * available in time.
   */
  async acquireSlot(waitMilliseconds: number): Promise<boolean> {
    if (this.slotAcquiredAt !== undefined) return true;
    const {listener} = this;
    if (!(await listener.waitForSlot(waitMilliseconds))) return false;
    this.slotAcquiredAt = listener.timer.now();
    return true;
  }

  /** Releases the slot while the member runs no statement for the lease. */
  releaseSlot(): void {
    if (this.slotAcquiredAt === undefined) return;
    const heldMilliseconds = this.listener.timer.now() - this.slotAcquiredAt;
    this.slotAcquiredAt = undefined;
    this.listener.recordStatementEnd(heldMilliseconds);
  }

  /**
   * Ends the lease. The connection is cleaned before it returns to the pool, or
   * closed if it cannot be cleaned.
   */
  async release(): Promise<void> {
    if (this.ended) return;
    this.ended = true;
    const {connection} = this;
    // Cleaning runs statements, which need a slot.
    const mayClean =
      !connection.needsCleaning ||
      (await this.acquireSlot(CLEANUP_SLOT_TIMEOUT_MILLISECONDS));
    const isClean = mayClean && (await connection.clean());
    this.finish(() => {
      if (isClean) this.listener.pool.release(connection);
      else this.listener.pool.discard(connection);
    });
  }

  /** Ends the lease and closes the connection. */
  discard(): void {
    if (this.ended) return;
    this.ended = true;
    this.finish(() => this.listener.pool.discard(this.connection));
  }

  private finish(returnConnection: () => void): void {
    const {listener} = this;
    // The connection goes back before the slot: otherwise the scheduler would
    // open another connection for the next lease.
    returnConnection();
    // The member may still be running the statement, so the slot stays
    // occupied.
    if (this.connection.mayStillRun) {
      listener.timer.once(ABANDONED_SLOT_HOLD_MILLISECONDS, () =>
        this.releaseSlot(),
      );
    } else {
      this.releaseSlot();
    }
    listener.recordLeaseEnd(listener.timer.now() - this.leasedAt);
  }
}
