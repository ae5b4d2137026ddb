import {GroupWatch} from '@apricotlock/group';
import {Either, Left, Right} from 'purify-ts';
import {TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {PeerChannel} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {findMember, Member} from '@apricotlock/topology';
import {queryMessage} from '@apricotlock/wire';
import {BackendConnection, ExchangeEnd} from './backend_connection.js';
import {ConnectionPool, OpenConnection, PoolLimits} from './connection_pool.js';
import {
  LeaseDown,
  LeaseRefusal,
  LeaseRequest,
  LeaseUp,
} from './lease_messages.js';

const CONFIRM_TIMEOUT_MILLISECONDS = 3_000;
const PRIMARY_POSITION_QUERY = queryMessage('SELECT pg_current_wal_lsn()');
const REPLICA_POSITION_QUERY = queryMessage('SELECT pg_last_wal_replay_lsn()');

/** What the owner of a member needs. */
export interface MemberOwnerOptions {
  readonly member: Member;
  readonly watch: GroupWatch;
  readonly limits: PoolLimits;
  readonly open: OpenConnection;
  readonly timer: TimerService;
}

type LeaseChannel = PeerChannel<LeaseDown, LeaseUp>;

/** Holds the connections of one member and lends them out. */
export class MemberOwner {
  private readonly pool: ConnectionPool;

  private constructor(private readonly options: MemberOwnerOptions) {
    const {open, limits, timer} = options;
    this.pool = ConnectionPool.create(open, limits, timer);
  }

  /** Begins to own a member. */
  static start(options: MemberOwnerOptions): MemberOwner {
    return new MemberOwner(options);
  }

  /** Takes over new limits from the catalogue. */
  setLimits(limits: PoolLimits): void {
    this.pool.setLimits(limits);
  }

  /** Opens connections ahead of need. */
  warm(count: number): void {
    this.pool.warm(count);
  }

  /** Serves one lease until it ends. */
  async serve(request: LeaseRequest, channel: LeaseChannel): Promise<void> {
    const admitted = await this.admit(request);
    if (admitted.isLeft()) {
      return refuse(channel, admitted.extract() as LeaseRefusal);
    }
    const taken = await this.pool.take(request.queueMilliseconds);
    if (taken.isLeft()) return refuse(channel, taken.extract() as LeaseRefusal);
    const connection = taken.unsafeCoerce();
    // The member may have changed its role while the request waited.
    const refusal = this.refusalFor(request);
    if (refusal !== undefined) {
      await this.pool.giveBack(connection);
      return refuse(channel, refusal);
    }
    channel.send({kind: 'granted'});
    await this.lend(request, connection, channel);
  }

  /** Gives up the member: what is idle is closed, what is lent goes later. */
  stop(): void {
    this.pool.close();
  }

  private async admit(
    request: LeaseRequest,
  ): Promise<Either<LeaseRefusal, void>> {
    const refusal = this.refusalFor(request);
    if (refusal === undefined) return Right(undefined);
    const mayWait =
      refusal.kind === 'behind' && request.floorWaitMilliseconds > 0;
    if (!mayWait) return Left(refusal);
    const {watch, timer} = this.options;
    const reached = await withTimeout(
      timer,
      request.floorWaitMilliseconds,
      watch.changes.until(() => this.refusalFor(request)?.kind !== 'behind'),
    );
    if (reached === TIMED_OUT) return Left({kind: 'behind'});
    const later = this.refusalFor(request);
    return later === undefined ? Right(undefined) : Left(later);
  }

  private refusalFor(request: LeaseRequest): LeaseRefusal | undefined {
    const {watch} = this.options;
    const member = findMember(watch.group, this.options.member.name);
    if (member === undefined || member.state !== 'active') {
      return {kind: 'draining'};
    }
    const observation = watch.observation(member.name);
    const status = observation?.status;
    if (status === undefined) return {kind: 'unreachable'};
    if (request.purpose === 'write') {
      const leads = status.role === 'primary' && status.term === request.term;
      return leads ? undefined : {kind: 'wrongTerm'};
    }
    if (observation?.failure !== undefined) return {kind: 'unreachable'};
    // A member outside the current history may show what was never confirmed.
    if (status.term < watch.group.term) return {kind: 'behind'};
    const {floor} = request;
    if (floor === undefined) return undefined;
    const reached =
      status.term >= floor.term && status.applied >= floor.position;
    return reached ? undefined : {kind: 'behind'};
  }

  private async lend(
    request: LeaseRequest,
    connection: BackendConnection,
    channel: LeaseChannel,
  ): Promise<void> {
    let sound = true;
    while (sound) {
      const message = await channel.receive();
      if (message === undefined || message.kind === 'release') break;
      if (message.reset) connection.markForReset();
      sound = await this.run(request, message, connection, channel);
    }
    if (sound) await this.pool.giveBack(connection);
    else this.pool.discard(connection);
  }

  private async run(
    request: LeaseRequest,
    message: Extract<LeaseUp, {kind: 'run'}>,
    connection: BackendConnection,
    channel: LeaseChannel,
  ): Promise<boolean> {
    const {term, role} = this.standing();
    const ended = await connection.exchange({
      bytes: message.bytes,
      answers: message.answers,
      positionQuery:
        role === 'primary' ? PRIMARY_POSITION_QUERY : REPLICA_POSITION_QUERY,
      relay: bytes => channel.send({kind: 'answer', bytes}),
    });
    if (ended.isLeft()) {
      channel.send({kind: 'lost', sent: true});
      return false;
    }
    const end = ended.unsafeCoerce();
    const confirmed = await this.confirm(request, term, role, end);
    channel.send({kind: 'finished', ...end, term, confirmed});
    return true;
  }

  /** The member's term and role before statements are sent to it. */
  private standing() {
    const {watch, member} = this.options;
    const status = watch.observation(member.name)?.status;
    return {term: status?.term ?? 0, role: status?.role ?? 'replica'};
  }

  private async confirm(
    request: LeaseRequest,
    term: number,
    role: string,
    end: ExchangeEnd,
  ): Promise<boolean> {
    if (role !== 'primary') return request.purpose === 'read';
    if (request.purpose === 'write' && term !== request.term) return false;
    if (end.position === undefined) return true;
    const {watch} = this.options;
    return watch.confirmed(term, end.position, CONFIRM_TIMEOUT_MILLISECONDS);
  }
}

function refuse(channel: LeaseChannel, refusal: LeaseRefusal): void {
  channel.send({kind: 'refused', refusal});
}
