import {BackendGate, LeaseRequest, ReadFloor} from '@apricotlock/backend';
import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {
  CatalogueEntry,
  ClusterView,
  DatabaseGroup,
  findGroup,
  Member,
} from '@apricotlock/topology';
import {SqlState} from '@apricotlock/wire';
import {hasError} from './answer.js';
import {
  AnswerSink,
  LeaseHolder,
  RunRequest,
  RunResult,
} from './lease_holder.js';
import {Failure, refusalFailure} from './outcome.js';
import {ReplicaMemory} from './replica_memory.js';
import {SessionSettings} from './session_settings.js';

const RETRY_PAUSE_MILLISECONDS = 15;
const RETRY_HINT_MILLISECONDS = 100;
/** How often a read whose answer was lost may be sent once more. */
const MAXIMUM_REPEATED_READS = 2;

/** What is asked of the router. */
export interface RouteRequest {
  readonly entry: CatalogueEntry;
  readonly session: string;
  readonly settings: SessionSettings;
  /** A read may run on any member that is fresh enough. */
  readonly purpose: 'read' | 'write';
  readonly run: RunRequest;
  /** Takes parts of the answer that may be shown before its end. */
  readonly sink: AnswerSink;
  /** Told of each lease on which the batch is tried. */
  readonly holding: (lease: LeaseHolder) => void;
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
  /** Another member or another try may work. */
  | {
      readonly kind: 'tryAgain';
      readonly failure: Failure;
      /** Whether a member may have run it, which only a read may repeat. */
      readonly sent: boolean;
    }
  /** A replica found that it is not a read after all. */
  | {readonly kind: 'needsPrimary'};

/** Finds the member that runs a batch. */
export class Router {
  private readonly memory: ReplicaMemory;
  /** Members in the order in which reads try them; a group never changes. */
  private readonly orders = new WeakMap<DatabaseGroup, readonly Member[]>();

  private constructor(
    private readonly dataCentre: string,
    private readonly view: Observable<ClusterView>,
    private readonly gate: BackendGate,
    private readonly timer: TimerService,
  ) {
    this.memory = ReplicaMemory.create(timer);
  }

  /** A router for the callers of one entry VM. */
  static create(
    dataCentre: string,
    view: Observable<ClusterView>,
    gate: BackendGate,
    timer: TimerService,
  ): Router {
    return new Router(dataCentre, view, gate, timer);
  }

  /** Runs a batch; waits for a member that can while there is none. */
  async route(request: RouteRequest): Promise<Routed | NotRouted> {
    const deadline = this.timer.now() + request.entry.limits.queueMilliseconds;
    let {purpose} = request;
    const lost: LostReads = {count: 0};
    for (;;) {
      const attempt =
        purpose === 'read'
          ? await this.tryRead(request, deadline, lost)
          : await this.tryWrite(request, deadline);
      if (attempt.kind === 'needsPrimary') {
        purpose = 'write';
        continue;
      }
      if (attempt.kind !== 'tryAgain') return attempt;
      const late = this.timer.now() + RETRY_PAUSE_MILLISECONDS >= deadline;
      if (late || lost.count > MAXIMUM_REPEATED_READS) {
        return {kind: 'notRouted', failure: attempt.failure};
      }
      await this.timer.sleep(RETRY_PAUSE_MILLISECONDS);
    }
  }

  private async tryWrite(
    request: RouteRequest,
    deadline: number,
  ): Promise<Attempt> {
    const group = findGroup(this.view.current, request.entry.database);
    if (group?.primary === undefined) {
      return tryAgain('there is no primary now');
    }
    const lease = this.lease(request, {
      group,
      member: group.primary,
      purpose: 'write',
      floor: undefined,
      floorWaitMilliseconds: 0,
      deadline,
    });
    const result = await lease.run(request.run, request.sink);
    if (result.kind === 'finished' && result.confirmed) {
      return {kind: 'routed', result, lease, servedBy: 'primary'};
    }
    lease.release();
    if (result.kind === 'refused') return refusedAttempt(result.refusal);
    if (result.kind === 'finished') {
      return unknown('no majority of the group confirmed it in time');
    }
    if (!result.sent) return tryAgain('the backend server was lost');
    return unknown('the connection was lost before the answer came');
  }

  private async tryRead(
    request: RouteRequest,
    deadline: number,
    lost: LostReads,
  ): Promise<Attempt> {
    const group = findGroup(this.view.current, request.entry.database);
    if (group === undefined) return tryAgain('the database is not known yet');
    const aged = await this.tryAgedRead(request, group, deadline);
    if (aged !== undefined) return aged;
    const floor = await this.floorOf(request);
    if (floor === undefined) return tryAgain('the primary cannot be asked');
    let last: Attempt = tryAgain('no member can be reached');
    const order = this.readOrder(group);
    // Members that are fresh enough now come before any that is waited for.
    for (const mayWait of [false, true]) {
      for (const member of order) {
        const waits = mayWait ? this.waitFor(group, member) : 0;
        if (mayWait && waits === 0) continue;
        if (!mayWait && member.name === group.primary) continue;
        last = await this.readFrom(request, {
          group,
          member: member.name,
          purpose: 'read',
          floor,
          floorWaitMilliseconds: waits,
          deadline,
        });
        if (last.kind !== 'tryAgain') return last;
        if (last.sent) lost.count += 1;
        if (lost.count > MAXIMUM_REPEATED_READS) return last;
      }
    }
    const primary = order.find(({name}) => name === group.primary);
    if (primary === undefined) return last;
    last = await this.readFrom(request, {
      group,
      member: primary.name,
      purpose: 'read',
      floor,
      floorWaitMilliseconds: 0,
      deadline,
    });
    if (last.kind === 'tryAgain' && last.sent) lost.count += 1;
    return last;
  }

  /**
   * A session that takes data of a stated age needs no current position: a
   * replica that is young enough may serve it. What the session has seen
   * stays its floor, whatever age it states.
   */
  private async tryAgedRead(
    request: RouteRequest,
    group: DatabaseGroup,
    deadline: number,
  ): Promise<Attempt | undefined> {
    const {token, maximumStalenessMilliseconds} = request.settings;
    if (maximumStalenessMilliseconds === undefined) return undefined;
    for (const member of this.readOrder(group)) {
      if (member.name === group.primary) continue;
      const attempt = await this.readFrom(request, {
        group,
        member: member.name,
        purpose: 'read',
        floor: token,
        maximumAgeMilliseconds: maximumStalenessMilliseconds,
        floorWaitMilliseconds: 0,
        deadline,
      });
      if (attempt.kind !== 'tryAgain' || attempt.sent) return attempt;
    }
    return undefined;
  }

  private waitFor(group: DatabaseGroup, member: Member): number {
    if (member.name === group.primary) return 0;
    return this.memory.waitFor(member.name);
  }

  private async readFrom(
    request: RouteRequest,
    choice: LeaseChoice,
  ): Promise<Attempt> {
    const {group, member} = choice;
    const lease = this.lease(request, choice);
    const result = await lease.run(request.run, request.sink);
    const byReplica = member !== group.primary;
    if (result.kind === 'finished' && result.confirmed) {
      if (byReplica && refusedAsWrite(result)) {
        lease.release();
        return {kind: 'needsPrimary'};
      }
      if (choice.floorWaitMilliseconds > 0) this.memory.caughtUp(member);
      const servedBy = byReplica ? 'replica' : 'primary';
      return {kind: 'routed', result, lease, servedBy};
    }
    lease.release();
    if (result.kind === 'refused') {
      if (choice.floorWaitMilliseconds > 0) {
        this.memory.waitedInVain(member);
      }
      return refusedAttempt(result.refusal);
    }
    if (result.partTold) {
      const reason = 'the backend server was lost';
      return {kind: 'notRouted', failure: {kind: 'cutShort', reason}};
    }
    // A read may be repeated: the caller has seen nothing of it.
    return {...tryAgain('the answer could not be confirmed'), sent: true};
  }

  /**
   * Without a token the floor is where the primary stands now; so it is when
   * no replica was young enough, for the token alone says nothing of age.
   */
  private async floorOf(request: RouteRequest): Promise<ReadFloor | undefined> {
    const {token, maximumStalenessMilliseconds} = request.settings;
    if (token !== undefined && maximumStalenessMilliseconds === undefined) {
      return token;
    }
    const position = await this.gate.position(request.entry.database);
    return position.toMaybe().extract();
  }

  private lease(request: RouteRequest, choice: LeaseChoice): LeaseHolder {
    const {entry, session} = request;
    const {group, member, purpose, floor, floorWaitMilliseconds} = choice;
    const {maximumAgeMilliseconds} = choice;
    const lease = LeaseHolder.create(this.gate, {
      database: group.database,
      member,
      entry: entry.name,
      session,
      purpose,
      term: group.term,
      floor: floor && {term: floor.term, position: floor.position},
      ...(maximumAgeMilliseconds === undefined ? {} : {maximumAgeMilliseconds}),
      floorWaitMilliseconds,
      // An attempt that is not the first has only what is left of the time.
      queueMilliseconds: Math.max(
        0,
        Math.round(choice.deadline - this.timer.now()),
      ),
    });
    request.holding(lease);
    return lease;
  }

  /** Replicas near by, then other replicas, then the primary. */
  private readOrder(group: DatabaseGroup): readonly Member[] {
    const known = this.orders.get(group);
    if (known !== undefined) return known;
    const active = group.members.filter(member => member.state === 'active');
    const order = [...active].sort(
      (left, right) => this.distance(group, left) - this.distance(group, right),
    );
    this.orders.set(group, order);
    return order;
  }

  private distance(group: DatabaseGroup, member: Member): number {
    if (member.name === group.primary) return 2;
    return member.dataCentre === this.dataCentre ? 0 : 1;
  }
}

/** Reads of one request whose answers were lost; each attempt adds to it. */
interface LostReads {
  count: number;
}

/** Which member is tried, and how long it may take. */
interface LeaseChoice {
  readonly group: DatabaseGroup;
  readonly member: string;
  readonly purpose: LeaseRequest['purpose'];
  readonly floor: ReadFloor | undefined;
  readonly maximumAgeMilliseconds?: number;
  readonly floorWaitMilliseconds: number;
  /** On the timer's clock. */
  readonly deadline: number;
}

/** The read-only error of a replica says that nothing has been run. */
function refusedAsWrite(result: Routed['result']): boolean {
  if (result.partTold) return false;
  return hasError(result.answer, SqlState.READ_ONLY_TRANSACTION);
}

function tryAgain(reason: string): Extract<Attempt, {kind: 'tryAgain'}> {
  return {
    kind: 'tryAgain',
    sent: false,
    failure: {
      kind: 'notRun',
      reason,
      retryAfterMilliseconds: RETRY_HINT_MILLISECONDS,
    },
  };
}

function unknown(reason: string): NotRouted {
  return {kind: 'notRouted', failure: {kind: 'unknown', reason}};
}

function refusedAttempt(
  refusal: Extract<RunResult, {kind: 'refused'}>['refusal'],
): Attempt {
  const failure = refusalFailure(refusal);
  // Trying again at once would only add to an overload.
  const final = refusal.kind === 'overloaded' || refusal.kind === 'cancelled';
  if (final) return {kind: 'notRouted', failure};
  return {kind: 'tryAgain', failure, sent: false};
}
