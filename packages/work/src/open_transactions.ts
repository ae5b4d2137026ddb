import {Logger} from '@apricotlock/logging';
import {MemberTarget} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {lastAnswer} from './caller_command.js';
import {ConnectionPool} from './connection_pool.js';
import {IdleTransactions} from './idle_transactions.js';
import {WorkConnection} from './work_connection.js';
import {WorkObserver} from './work_observer.js';

const ROLLBACK_TIMEOUT_MILLISECONDS = 500;

/** Dependencies of the open transactions of one member. */
export interface OpenTransactionsOptions {
  readonly target: MemberTarget;
  /** Where the connection of a transaction that has ended is returned. */
  readonly connections: ConnectionPool;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly observer: WorkObserver;
}

/** A transaction that waits for the next statement of its session. */
export interface IdleTransaction {
  readonly connection: WorkConnection;
  readonly requestId: string;
  /** When it became idle, on the timer's clock. */
  readonly since: number;
}

/**
 * The transactions that are open on one member between two of their statements,
 * and the ways in which they end without a statement of their session.
 */
export class OpenTransactions {
  private readonly idle = IdleTransactions.create<IdleTransaction>();
  private isEnding = false;

  private constructor(private readonly options: OpenTransactionsOptions) {}

  /** Creates an instance without transactions. */
  static create(options: OpenTransactionsOptions): OpenTransactions {
    return new OpenTransactions(options);
  }

  /** Records that a transaction waits for its next statement from now on. */
  startIdle(connection: WorkConnection, requestId: string): IdleTransaction {
    const since = this.options.timer.now();
    const transaction = {connection, requestId, since};
    this.idle.add(transaction, since);
    return transaction;
  }

  /**
   * Records that a transaction no longer waits. Returns `false` if it was ended
   * meanwhile, because new work needed its connection.
   */
  stopIdle(transaction: IdleTransaction): boolean {
    return this.idle.remove(transaction);
  }

  /**
   * Ends an idle transaction if these hold most connections while new work
   * waits for one. Returns when to call it again if the work still waits then.
   */
  endIdle(): number | undefined {
    // The connection of the transaction that is being ended may be enough.
    if (this.isEnding) return undefined;
    const {connections, timer} = this.options;
    const choice = this.idle.chooseEnding(connections.count, timer.now());
    if (choice.kind === 'wait') return choice.until;
    const {transaction} = choice;
    this.idle.remove(transaction);
    this.recordEnding(transaction);
    this.isEnding = true;
    void this.sendRollback(transaction.connection).then(isIdle => {
      this.isEnding = false;
      this.returnConnection(transaction.connection, isIdle);
    });
    return undefined;
  }

  /** Rolls back a transaction that its session did not end. */
  async rollBack(connection: WorkConnection): Promise<void> {
    this.returnConnection(connection, await this.sendRollback(connection));
  }

  private recordEnding({connection, requestId, since}: IdleTransaction): void {
    const {logger, target, timer, observer} = this.options;
    logger.info('ended an idle transaction because new work waits', {
      request: requestId,
      member: target.name,
      organisation: connection.organisation,
      idle: Math.round(timer.now() - since),
    });
    observer.onConnectionEvent('transactionEnded');
  }

  /** Resolves to whether the connection is out of its transaction. */
  private async sendRollback({member}: WorkConnection): Promise<boolean> {
    const rolledBack = await member.run(
      [{kind: 'rollback'}],
      ROLLBACK_TIMEOUT_MILLISECONDS,
    );
    const answer = rolledBack.map(lastAnswer).toMaybe().extract();
    return answer?.state === 'idle';
  }

  private returnConnection(connection: WorkConnection, isIdle: boolean): void {
    const {connections} = this.options;
    if (isIdle) connections.checkIn(connection);
    else connections.discard(connection);
  }
}
