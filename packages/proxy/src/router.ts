import {BackendGate, LeaseRequest, ReadFloor} from '@apricotlock/backend';
import {Observable} from '@apricotlock/flow';
import {SessionToken} from '@apricotlock/session';
import {TimerService} from '@apricotlock/timer';
import {
  CatalogueEntry,
  ClusterView,
  DatabaseGroup,
  findGroup,
  Member,
} from '@apricotlock/topology';
import {LeaseHolder, RunResult} from './lease_holder.js';
import {Failure, refusalFailure} from './outcome.js';
import {RequestBatch} from './request_batch.js';

const FLOOR_WAIT_MILLISECONDS = 20;
const RETRY_PAUSE_MILLISECONDS = 15;

/** What is asked of the router. */
export interface RouteRequest {
  readonly entry: CatalogueEntry;
  readonly session: string;
  readonly token: SessionToken | undefined;
  readonly batch: RequestBatch;
}

/** A batch that was carried out, and the lease that it may go on with. */
export interface Routed {
  readonly kind: 'routed';
  readonly result: Extract<RunResult, {kind: 'finished'}>;
  readonly lease: LeaseHolder;
  readonly servedBy: 'primary' | 'replica';
}

/** A batch that was not carried out, or nobody knows. */
export interface NotRouted {
  readonly kind: 'notRouted';
  readonly failure: Failure;
}

type Attempt =
  | Routed
  | NotRouted
  /** Nothing was run, and another member or another try may work. */
  | {readonly kind: 'tryAgain'; readonly failure: Failure};

/** Finds the member that runs a batch. */
export class Router {
  private constructor(
    private readonly dataCentre: string,
    private readonly view: Observable<ClusterView>,
    private readonly gate: BackendGate,
    private readonly timer: TimerService,
  ) {}

  /** A router for the callers of one entry VM. */
  static create(
    dataCentre: string,
    view: Observable<ClusterView>,
    gate: BackendGate,
    timer: TimerService,
  ): Router {
    return new Router(dataCentre, view, gate, timer);
  }

  /** Runs a batch on the primary; waits for one while there is none. */
  write(request: RouteRequest): Promise<Routed | NotRouted> {
    return this.retrying(request, () => this.tryWrite(request));
  }

  /** Runs a batch that changes nothing on any member that is fresh enough. */
  read(request: RouteRequest): Promise<Routed | NotRouted> {
    return this.retrying(request, () => this.tryRead(request));
  }

  private async retrying(
    request: RouteRequest,
    attempt: () => Promise<Attempt>,
  ): Promise<Routed | NotRouted> {
    const {queueMilliseconds} = request.entry.limits;
    const deadline = this.timer.now() + queueMilliseconds;
    for (;;) {
      const outcome = await attempt();
      if (outcome.kind !== 'tryAgain') return outcome;
      if (this.timer.now() + RETRY_PAUSE_MILLISECONDS >= deadline) {
        return {kind: 'notRouted', failure: outcome.failure};
      }
      await this.timer.sleep(RETRY_PAUSE_MILLISECONDS);
    }
  }

  private async tryWrite(request: RouteRequest): Promise<Attempt> {
    const group = findGroup(this.view.current, request.entry.database);
    if (group?.primary === undefined) {
      return tryAgain('there is no primary now');
    }
    const lease = this.lease(request, group, group.primary, 'write', undefined);
    const result = await lease.run(request.batch);
    if (result.kind === 'finished') {
      if (result.confirmed) {
        return {kind: 'routed', result, lease, servedBy: 'primary'};
      }
      lease.release();
      const reason = 'no majority of the group confirmed it in time';
      return {kind: 'notRouted', failure: {kind: 'unknown', reason}};
    }
    lease.release();
    if (result.kind === 'refused') return refusedAttempt(result.refusal);
    if (!result.sent) return tryAgain('the backend server was lost');
    const reason = 'the connection was lost before the answer came';
    return {kind: 'notRouted', failure: {kind: 'unknown', reason}};
  }

  private async tryRead(request: RouteRequest): Promise<Attempt> {
    const group = findGroup(this.view.current, request.entry.database);
    if (group === undefined) return tryAgain('the database is not known yet');
    const floor = await this.floorOf(request);
    if (floor === undefined) return tryAgain('the primary cannot be asked');
    let last: Attempt = tryAgain('no member can be reached');
    for (const member of this.readOrder(group)) {
      last = await this.readFrom(request, group, member, floor);
      if (last.kind !== 'tryAgain') return last;
    }
    return last;
  }

  private async readFrom(
    request: RouteRequest,
    group: DatabaseGroup,
    member: Member,
    floor: ReadFloor,
  ): Promise<Attempt> {
    const lease = this.lease(request, group, member.name, 'read', floor);
    const result = await lease.run(request.batch);
    if (result.kind === 'finished' && result.confirmed) {
      const servedBy = member.name === group.primary ? 'primary' : 'replica';
      return {kind: 'routed', result, lease, servedBy};
    }
    lease.release();
    if (result.kind === 'refused') return refusedAttempt(result.refusal);
    // A read may be repeated: the caller has seen nothing of it.
    return tryAgain('the answer could not be confirmed');
  }

  /** Without a token the floor is where the primary stands now. */
  private async floorOf(request: RouteRequest): Promise<ReadFloor | undefined> {
    if (request.token !== undefined) return request.token;
    const position = await this.gate.position(request.entry.database);
    return position.toMaybe().extract();
  }

  private lease(
    request: RouteRequest,
    group: DatabaseGroup,
    member: string,
    purpose: LeaseRequest['purpose'],
    floor: ReadFloor | undefined,
  ): LeaseHolder {
    const {entry, session} = request;
    const conversation = this.gate.lease({
      database: group.database,
      member,
      entry: entry.name,
      session,
      purpose,
      term: group.term,
      floor: floor && {term: floor.term, position: floor.position},
      floorWaitMilliseconds:
        member === group.primary ? 0 : FLOOR_WAIT_MILLISECONDS,
      queueMilliseconds: entry.limits.queueMilliseconds,
    });
    return LeaseHolder.of(conversation);
  }

  /** Replicas near by, then other replicas, then the primary. */
  private readOrder(group: DatabaseGroup): readonly Member[] {
    const active = group.members.filter(member => member.state === 'active');
    return [...active].sort(
      (left, right) => this.distance(group, left) - this.distance(group, right),
    );
  }

  private distance(group: DatabaseGroup, member: Member): number {
    if (member.name === group.primary) return 2;
    return member.dataCentre === this.dataCentre ? 0 : 1;
  }
}

function tryAgain(reason: string): Attempt {
  return {
    kind: 'tryAgain',
    failure: {kind: 'notRun', reason, retryAfterMilliseconds: 100},
  };
}

function refusedAttempt(
  refusal: Extract<RunResult, {kind: 'refused'}>['refusal'],
): Attempt {
  const failure = refusalFailure(refusal);
  // Trying again at once would only add to an overload.
  if (refusal.kind === 'overloaded') return {kind: 'notRouted', failure};
  return {kind: 'tryAgain', failure};
}
