import {GroupWatch} from '@apricotlock/group';
import {TIMED_OUT} from '@apricotlock/flow';
import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {majorityOf} from '@apricotlock/topology';
import {queryMessage} from '@apricotlock/wire';
import {ExchangeResult} from './backend_connection.js';
import {ConnectionMonitor} from './connection_monitor.js';
import {LeaseAdmission} from './lease_admission.js';
import {AnswerRelay} from './answer_relay.js';
import {LeaseInbox} from './lease_inbox.js';
import {
  LeaseOwnerMessage,
  LeaseRefusal,
  LeaseRequest,
  LeaseClientMessage,
  RunMessage,
} from './lease_messages.js';
import {ScheduleError} from './schedule_error.js';
import {endsTransaction} from './transaction_end.js';
import {ConnectionCheckout} from './connection_checkout.js';
import {WorkScheduler} from './work_scheduler.js';

const CONFIRMATION_TIMEOUT_MILLISECONDS = 3_000;
/** An open transaction without statements for this long is rolled back. */
const IDLE_IN_TRANSACTION_LIMIT_MILLISECONDS = 60_000;
/**
 * Interval of probes in an idle transaction; shorter than the idle limit of the
 * member, so that the member does not close the connection.
 */
const PROBE_INTERVAL_MILLISECONDS = 1_000;
/**
 * Copies that certainly hold what a replica shows: the primary's and its own.
 */
const COPIES_OF_REPLICA_READ = 2;
const PRIMARY_POSITION_QUERY = queryMessage('SELECT pg_current_wal_lsn()');
const REPLICA_POSITION_QUERY = queryMessage('SELECT pg_last_wal_replay_lsn()');

/** Dependencies that all connection leases of one member share. */
export interface LeaseServerOptions {
  readonly watch: GroupWatch;
  readonly admission: LeaseAdmission;
  readonly scheduler: WorkScheduler;
  readonly monitor: ConnectionMonitor;
  readonly timer: TimerService;
}

type LeaseChannel = PeerChannel<LeaseOwnerMessage, LeaseClientMessage>;

/** Whether the lease continues after an answer. */
type RunOutcome = 'leaseContinues' | 'leaseEnded';

/**
 * Serves one connection lease: statements outside a transaction, or one
 * transaction.
 */
export class LeaseServer {
  private readonly inbox: LeaseInbox;

  private constructor(
    private readonly request: LeaseRequest,
    private readonly channel: LeaseChannel,
    private readonly options: LeaseServerOptions,
  ) {
    this.inbox = LeaseInbox.start(channel, options.timer, request.first);
  }

  /** Serves a lease. Resolves once it has ended. */
  static async serve(
    request: LeaseRequest,
    channel: LeaseChannel,
    options: LeaseServerOptions,
  ): Promise<void> {
    await new LeaseServer(request, channel, options).serve();
  }

  private async serve(): Promise<void> {
    // No connection is reserved before there are statements to run.
    const firstRun = await this.inbox.readRun();
    if (firstRun === undefined) return;
    const {admission, scheduler} = this.options;
    const {request} = this;
    const admissionResult = await admission.admit(request);
    if (admissionResult.isLeft()) {
      return this.refuse(admissionResult.extract() as LeaseRefusal);
    }
    const started = await scheduler.startLease({
      entry: request.entry,
      session: request.session,
      purpose: request.purpose,
      waitMilliseconds: request.queueMilliseconds,
      abandoned: this.inbox.waitUntilAbandoned(),
    });
    if (started.isLeft()) return this.refuseStart(started.extract() as never);
    const checkout = started.unsafeCoerce();
    // The member's role may have changed while the request waited.
    const refusal = admission.refusalFor(request);
    if (refusal !== undefined) {
      this.refuse(refusal);
      return checkout.release();
    }
    if (request.first === undefined) this.channel.send({kind: 'granted'});
    await this.runStatements(checkout, firstRun);
  }

  private async runStatements(
    checkout: ConnectionCheckout,
    firstRun: RunMessage,
  ): Promise<void> {
    let run: RunMessage = firstRun;
    while ((await this.run(checkout, run)) === 'leaseContinues') {
      const nextRun = await this.waitForNextRun(checkout);
      // Releasing the checkout rolls back the open transaction.
      if (nextRun === undefined) break;
      if (!(await this.acquireSlotIfNeeded(checkout, nextRun))) {
        this.refuse({kind: 'overloaded', retryAfterMilliseconds: 0});
        break;
      }
      run = nextRun;
    }
    await checkout.release();
  }

  /**
   * Waits for the next statements of an open transaction. Probes the connection
   * during the wait, which also keeps the member from closing it. Resolves to
   * `undefined` if the lease must end.
   */
  private async waitForNextRun(
    checkout: ConnectionCheckout,
  ): Promise<RunMessage | undefined> {
    const {timer, monitor} = this.options;
    const deadline = timer.now() + IDLE_IN_TRANSACTION_LIMIT_MILLISECONDS;
    while (timer.now() < deadline) {
      const nextRun = await this.inbox.readRunWithin(
        PROBE_INTERVAL_MILLISECONDS,
      );
      if (nextRun !== TIMED_OUT) return nextRun;
      if (await monitor.probeLeased(checkout.connection)) continue;
      checkout.discard();
      this.channel.send({kind: 'lost', sent: false});
      return undefined;
    }
    return undefined;
  }

  /**
   * Acquires a slot for the statements; `false` if none became available in
   * time. A statement that ends the transaction runs without a slot, since
   * statements that wait for locks of the transaction may hold all slots.
   */
  private async acquireSlotIfNeeded(
    checkout: ConnectionCheckout,
    message: RunMessage,
  ): Promise<boolean> {
    if (endsTransaction(message.bytes)) return true;
    return checkout.acquireSlot(this.request.queueMilliseconds);
  }

  private async run(
    checkout: ConnectionCheckout,
    message: RunMessage,
  ): Promise<RunOutcome> {
    const {term, role} = this.options.admission.lastObservedRole();
    const {connection} = checkout;
    if (message.reset) connection.markForReset();
    // A replaced primary may never answer, and the caller must not wait for it.
    const unsubscribe = this.onReplaced(() => connection.close());
    const relay = AnswerRelay.create({
      channel: this.channel,
      inbox: this.inbox,
      timer: this.options.timer,
      waitUntilConfirmed: () => this.confirmShownData(term, role),
    });
    let hasEnded = false;
    // A cancelled or abandoned statement must not continue to hold locks.
    void this.inbox.waitUntilAbandoned().then(() => {
      if (!hasEnded) connection.cancel();
    });
    const exchange = connection.exchange({
      bytes: message.bytes,
      answers: message.answers,
      positionQuery:
        role === 'primary' ? PRIMARY_POSITION_QUERY : REPLICA_POSITION_QUERY,
      relay: bytes => relay.append(bytes),
    });
    const exchangeResult = await this.options.monitor.watch(
      connection,
      exchange,
    );
    unsubscribe();
    hasEnded = true;
    if (exchangeResult.isLeft()) {
      this.channel.send({kind: 'lost', sent: true});
      checkout.discard();
      return 'leaseEnded';
    }
    const result = exchangeResult.unsafeCoerce();
    const isIdle = result.status === 'idle';
    // Others may use the connection and slot during the confirmation.
    if (isIdle) void checkout.release();
    else checkout.releaseSlot();
    const confirmed = await this.waitUntilConfirmed(term, role, result);
    const answer = relay.takeBuffered();
    this.channel.send({kind: 'finished', answer, ...result, term, confirmed});
    return isIdle ? 'leaseEnded' : 'leaseContinues';
  }

  /**
   * For a write, calls `action` when a newer primary has replaced the member.
   * Returns a function that unsubscribes.
   */
  private onReplaced(action: () => void): () => void {
    const {watch} = this.options;
    const {term, purpose} = this.request;
    if (purpose === 'read') return () => undefined;
    return watch.changes.subscribe(() => {
      if (watch.isReplaced(term)) action();
    });
  }

  /**
   * Resolves to whether a majority holds all data that a complete answer may
   * have shown, in the term in which it was given.
   */
  private async waitUntilConfirmed(
    term: number,
    role: string,
    result: ExchangeResult,
  ): Promise<boolean> {
    const {purpose, term: requestedTerm} = this.request;
    if (role !== 'primary' && purpose !== 'read') return false;
    if (purpose === 'write' && term !== requestedTerm) return false;
    // In a failed transaction the position query returns no position.
    if (result.position === undefined) return this.confirmShownData(term, role);
    if (role !== 'primary' && this.replicaDataIsConfirmed) return true;
    const {watch} = this.options;
    return watch.waitUntilConfirmed(
      term,
      result.position,
      CONFIRMATION_TIMEOUT_MILLISECONDS,
    );
  }

  /**
   * Whether everything that a replica shows is held by a majority in any case,
   * because the primary that it comes from and the replica are a majority.
   */
  private get replicaDataIsConfirmed(): boolean {
    return majorityOf(this.options.watch.group) <= COPIES_OF_REPLICA_READ;
  }

  /**
   * Resolves to whether a majority holds all data that the running statement
   * may have shown so far.
   */
  private async confirmShownData(term: number, role: string): Promise<boolean> {
    const {purpose, term: requestedTerm} = this.request;
    if (role !== 'primary' && this.replicaDataIsConfirmed) {
      return purpose === 'read';
    }
    if (purpose === 'write' && term !== requestedTerm) return false;
    const {watch} = this.options;
    // Requested after the rows arrived, so it is not older than their snapshot.
    const position = await watch.primaryPosition(term);
    if (position === undefined) return false;
    return watch.waitUntilConfirmed(
      term,
      position,
      CONFIRMATION_TIMEOUT_MILLISECONDS,
    );
  }

  private refuse(refusal: LeaseRefusal): void {
    this.channel.send({kind: 'refused', refusal});
  }

  private refuseStart(error: ScheduleError): void {
    if (this.inbox.isCancelRequested) this.refuse({kind: 'cancelled'});
    else if (error.kind !== 'abandoned') this.refuse(error);
  }
}
