import {GroupWatch} from '@apricotlock/group';
import {TIMED_OUT} from '@apricotlock/flow';
import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {majorityOf} from '@apricotlock/topology';
import {queryMessage} from '@apricotlock/wire';
import {ExchangeEnd} from './backend_connection.js';
import {ConnectionKeeper} from './connection_keeper.js';
import {LeaseAdmission} from './lease_admission.js';
import {AnswerRelay} from './answer_relay.js';
import {LeaseInbox} from './lease_inbox.js';
import {
  LeaseDown,
  LeaseRefusal,
  LeaseRequest,
  LeaseUp,
  RunMessage,
} from './lease_messages.js';
import {ScheduleError} from './schedule_error.js';
import {endsTransaction} from './transaction_end.js';
import {Turn} from './turn.js';
import {WorkScheduler} from './work_scheduler.js';

const CONFIRM_TIMEOUT_MILLISECONDS = 3_000;
const IDLE_IN_TRANSACTION_LIMIT_MILLISECONDS = 60_000;
const PROBE_PERIOD_MILLISECONDS = 1_000;
const PRIMARY_AND_REPLICA = 2;
const PRIMARY_POSITION_QUERY = queryMessage('SELECT pg_current_wal_lsn()');
const REPLICA_POSITION_QUERY = queryMessage('SELECT pg_last_wal_replay_lsn()');

/** What the leases of one member share. */
export interface LeaseServerOptions {
  readonly watch: GroupWatch;
  readonly admission: LeaseAdmission;
  readonly scheduler: WorkScheduler;
  readonly keeper: ConnectionKeeper;
  readonly timer: TimerService;
}

type LeaseChannel = PeerChannel<LeaseDown, LeaseUp>;

/** Whether the lease goes on after an answer. */
type RunOutcome = 'goOn' | 'over';

/** Serves one lease: a statement by itself, or one transaction. */
export class LeaseServer {
  private readonly inbox: LeaseInbox;

  private constructor(
    private readonly request: LeaseRequest,
    private readonly channel: LeaseChannel,
    private readonly options: LeaseServerOptions,
  ) {
    this.inbox = LeaseInbox.of(channel, options.timer, request.first);
  }

  /** Serves a lease until it ends. */
  static async serve(
    request: LeaseRequest,
    channel: LeaseChannel,
    options: LeaseServerOptions,
  ): Promise<void> {
    await new LeaseServer(request, channel, options).serve();
  }

  private async serve(): Promise<void> {
    // Nothing is taken before there is something to run on it.
    const first = await this.inbox.next();
    if (first === undefined) return;
    const {admission, scheduler} = this.options;
    const {request} = this;
    const admitted = await admission.admit(request);
    if (admitted.isLeft()) {
      return this.refuse(admitted.extract() as LeaseRefusal);
    }
    const begun = await scheduler.begin({
      entry: request.entry,
      session: request.session,
      purpose: request.purpose,
      waitMilliseconds: request.queueMilliseconds,
      abandoned: this.inbox.givenUp(),
    });
    if (begun.isLeft()) return this.refuseTurn(begun.extract() as never);
    const turn = begun.unsafeCoerce();
    // The member may have changed its role while the request waited.
    const refusal = admission.refusalFor(request);
    if (refusal !== undefined) {
      this.refuse(refusal);
      return turn.giveBack();
    }
    if (request.first === undefined) this.channel.send({kind: 'granted'});
    await this.lend(turn, first);
  }

  private async lend(turn: Turn, first: RunMessage): Promise<void> {
    let message: RunMessage = first;
    while ((await this.run(turn, message)) === 'goOn') {
      const next = await this.nextStatements(turn);
      // Whatever the transaction holds is freed by the clean-up.
      if (next === undefined) break;
      if (!(await this.mayRun(turn, next))) {
        this.refuse({kind: 'overloaded', retryAfterMilliseconds: 0});
        break;
      }
      message = next;
    }
    await turn.giveBack();
  }

  /**
   * The next statements of an open transaction, for which the connection is
   * kept alive; `undefined` if the transaction is to be rolled back.
   */
  private async nextStatements(turn: Turn): Promise<RunMessage | undefined> {
    const {timer, keeper} = this.options;
    const deadline = timer.now() + IDLE_IN_TRANSACTION_LIMIT_MILLISECONDS;
    while (timer.now() < deadline) {
      const next = await this.inbox.nextWithin(PROBE_PERIOD_MILLISECONDS);
      if (next !== TIMED_OUT) return next;
      if (await keeper.probeLent(turn.connection)) continue;
      turn.discard();
      this.channel.send({kind: 'lost', sent: false});
      return undefined;
    }
    return undefined;
  }

  /**
   * The end of a transaction needs no slot: statements that wait for its locks
   * may hold them all.
   */
  private async mayRun(turn: Turn, message: RunMessage): Promise<boolean> {
    if (endsTransaction(message.bytes)) return true;
    return turn.takeSlot(this.request.queueMilliseconds);
  }

  private async run(turn: Turn, message: RunMessage): Promise<RunOutcome> {
    const {term, role} = this.options.admission.standing();
    const {connection} = turn;
    if (message.reset) connection.markForReset();
    // A member that was replaced may never answer: the caller must not wait.
    const stopWatching = this.whenReplaced(() => connection.close());
    const relay = AnswerRelay.create({
      channel: this.channel,
      inbox: this.inbox,
      timer: this.options.timer,
      confirm: () => this.confirmNow(term, role),
    });
    let answered = false;
    // A statement that nobody waits for must not hold its locks any longer.
    void this.inbox.givenUp().then(() => {
      if (!answered) connection.cancel();
    });
    const exchange = connection.exchange({
      bytes: message.bytes,
      answers: message.answers,
      positionQuery:
        role === 'primary' ? PRIMARY_POSITION_QUERY : REPLICA_POSITION_QUERY,
      relay: bytes => relay.take(bytes),
    });
    const ended = await this.options.keeper.watch(connection, exchange);
    stopWatching();
    answered = true;
    if (ended.isLeft()) {
      this.channel.send({kind: 'lost', sent: true});
      turn.discard();
      return 'over';
    }
    const end = ended.unsafeCoerce();
    const idle = end.status === 'idle';
    // Confirmation takes a while: nobody else should wait for that.
    if (idle) void turn.giveBack();
    else turn.freeSlot();
    const confirmed = await this.confirm(term, role, end);
    const answer = relay.rest();
    this.channel.send({kind: 'finished', answer, ...end, term, confirmed});
    return idle ? 'over' : 'goOn';
  }

  /** Calls `action` once the member is no longer its group's primary. */
  private whenReplaced(action: () => void): () => void {
    const {watch} = this.options;
    const {term, purpose} = this.request;
    if (purpose === 'read') return () => undefined;
    return watch.changes.subscribe(() => {
      if (watch.isReplaced(term)) action();
    });
  }

  private async confirm(
    term: number,
    role: string,
    end: ExchangeEnd,
  ): Promise<boolean> {
    const {purpose, term: requestedTerm} = this.request;
    if (role !== 'primary' && purpose !== 'read') return false;
    if (purpose === 'write' && term !== requestedTerm) return false;
    // In a failed transaction the member does not say where it stands.
    if (end.position === undefined) return this.confirmNow(term, role);
    if (role !== 'primary' && this.replicaShowsConfirmed) return true;
    const {watch} = this.options;
    return watch.confirmed(term, end.position, CONFIRM_TIMEOUT_MILLISECONDS);
  }

  /**
   * Whether what a replica shows is held by a majority in any case: by the
   * primary, which it comes from, and by the replica itself.
   */
  private get replicaShowsConfirmed(): boolean {
    return majorityOf(this.options.watch.group) <= PRIMARY_AND_REPLICA;
  }

  /** Whether all that a statement now running may have shown is confirmed. */
  private async confirmNow(term: number, role: string): Promise<boolean> {
    const {purpose, term: requestedTerm} = this.request;
    if (role !== 'primary' && this.replicaShowsConfirmed) {
      return purpose === 'read';
    }
    if (purpose === 'write' && term !== requestedTerm) return false;
    const {watch} = this.options;
    // Asked after the rows came, it is not before their snapshot.
    const position = await watch.primaryPosition(term);
    if (position === undefined) return false;
    return watch.confirmed(term, position, CONFIRM_TIMEOUT_MILLISECONDS);
  }

  private refuse(refusal: LeaseRefusal): void {
    this.channel.send({kind: 'refused', refusal});
  }

  private refuseTurn(error: ScheduleError): void {
    if (this.inbox.wantsCancel) this.refuse({kind: 'cancelled'});
    else if (error.kind !== 'abandoned') this.refuse(error);
  }
}
