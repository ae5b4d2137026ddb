import {TimerService} from '@apricotlock/timer';
import {BackendConnection} from './backend_connection.js';
import {ConnectionPool} from './connection_pool.js';
import {EntryAccount, Purpose} from './entry_account.js';

/** How long a clean-up waits for a slot before the connection is closed. */
const CLEAN_WAIT_MILLISECONDS = 2_000;
/** How long the slot of a statement that was given up stays taken. */
const LOST_SLOT_MILLISECONDS = 1_000;

/** What a turn tells its scheduler. */
export interface TurnKeeper {
  readonly timer: TimerService;
  readonly pool: ConnectionPool;
  /** Waits for a slot; `false` if there was none in time. */
  continue(
    account: EntryAccount,
    purpose: Purpose,
    waitMilliseconds: number,
  ): Promise<boolean>;
  /** A statement gave its slot back after holding it this long. */
  statementEnded(
    account: EntryAccount,
    purpose: Purpose,
    heldMilliseconds: number,
  ): void;
  /** A lease ended after holding its connection this long. */
  leaseEnded(
    account: EntryAccount,
    purpose: Purpose,
    heldMilliseconds: number,
  ): void;
}

/** A connection lent for a lease, with a slot while a statement runs. */
export class Turn {
  private readonly leasedAt: number;
  private slotSince: number | undefined;
  private ended = false;

  private constructor(
    readonly connection: BackendConnection,
    private readonly account: EntryAccount,
    private readonly purpose: Purpose,
    private readonly keeper: TurnKeeper,
  ) {
    this.leasedAt = keeper.timer.now();
    this.slotSince = this.leasedAt;
  }

  /** A turn that begins now, with a slot. */
  static start(
    connection: BackendConnection,
    account: EntryAccount,
    purpose: Purpose,
    keeper: TurnKeeper,
  ): Turn {
    return new Turn(connection, account, purpose, keeper);
  }

  /** Waits for a slot unless it has one; `false` if there was none in time. */
  async takeSlot(waitMilliseconds: number): Promise<boolean> {
    if (this.slotSince !== undefined) return true;
    const {keeper, account, purpose} = this;
    if (!(await keeper.continue(account, purpose, waitMilliseconds))) {
      return false;
    }
    this.slotSince = keeper.timer.now();
    return true;
  }

  /** Gives the slot back: the member runs nothing for the lease now. */
  freeSlot(): void {
    if (this.slotSince === undefined) return;
    const held = this.keeper.timer.now() - this.slotSince;
    this.slotSince = undefined;
    this.keeper.statementEnded(this.account, this.purpose, held);
  }

  /** Ends the lease; the connection is cleaned before anybody else has it. */
  async giveBack(): Promise<void> {
    if (this.ended) return;
    this.ended = true;
    const {connection} = this;
    // Cleaning runs statements too, and so needs a slot.
    const ready =
      !connection.needsCleaning ||
      (await this.takeSlot(CLEAN_WAIT_MILLISECONDS));
    const clean = ready && (await connection.clean());
    this.finish(() => {
      if (clean) this.keeper.pool.put(connection);
      else this.keeper.pool.discard(connection);
    });
  }

  /** Ends the lease and closes the connection. */
  discard(): void {
    if (this.ended) return;
    this.ended = true;
    this.finish(() => this.keeper.pool.discard(this.connection));
  }

  private finish(returnConnection: () => void): void {
    const {keeper, account, purpose} = this;
    // First the connection: else another would be opened for the next lease.
    returnConnection();
    // The member may go on with the statement, which then still has its slot.
    if (this.connection.mayStillRun) {
      keeper.timer.once(LOST_SLOT_MILLISECONDS, () => this.freeSlot());
    } else {
      this.freeSlot();
    }
    keeper.leaseEnded(account, purpose, keeper.timer.now() - this.leasedAt);
  }
}
