import {Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerChannel, PeerNetwork} from '@apricotlock/peer';
import {LogPosition, MemberConnector} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {
  ClusterView,
  DatabaseGroup,
  findGroup,
  findMember,
  Member,
  VirtualMachine,
} from '@apricotlock/topology';
import {
  ConnectionLimits,
  connectionLimitsFor,
  slotsOf,
} from './connection_limits.js';
import {ControlLeaderClient} from './control_leader_client.js';
import {DrainingMembers} from './draining_members.js';
import {HeldPrimaries} from './held_primaries.js';
import {COUNT_TRANSACTIONS, REVOKE_LEASE} from './lease_messages.js';
import {LeaseRenewer} from './lease_renewer.js';
import {MemberWorker} from './member_worker.js';
import {PrimaryFailureReporter} from './primary_failure_reporter.js';
import {PrimaryLeases} from './primary_leases.js';
import {
  CURRENT_POSITION,
  PING,
  RUN_WORK,
  WorkRefusal,
  WorkServerMessage,
  WorkRequest,
  WorkClientMessage,
} from './work_messages.js';
import {WorkObserver} from './work_observer.js';

/** A worker is closed after this time without work. */
const UNUSED_WORKER_TIMEOUT_MILLISECONDS = 5_000;
const WORKER_CHECK_INTERVAL_MILLISECONDS = 1_000;
/** The retry delay that is sent with a refusal for an unknown member. */
const UNKNOWN_MEMBER_RETRY_MILLISECONDS = 300;

/** Options of the work service. */
export interface WorkServiceOptions {
  readonly self: string;
  readonly view: Observable<ClusterView>;
  /** The entry VMs, which run work on members. */
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly connector: MemberConnector;
  readonly leader: ControlLeaderClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly observer: WorkObserver;
  /** Called when work begins on a member that is known to be draining. */
  readonly onDrainingWork: (role: MemberRole) => void;
}

/** The role in which a member is used. */
export type MemberRole = 'primary' | 'replica';

/**
 * Runs work on members for the sessions of this VM and of other VMs, with one
 * worker for each member in use. Work on a primary requires its lease; work on
 * a replica is accepted by any VM.
 */
export class WorkService {
  private readonly workers = new Map<string, MemberWorker>();
  /** When this VM ends its work, on the timer's clock. */
  private endsAt = Infinity;
  private readonly leases: PrimaryLeases;
  private readonly primaries: HeldPrimaries;
  private readonly renewer: LeaseRenewer;
  private readonly draining: DrainingMembers;
  private readonly failureReporter: PrimaryFailureReporter;

  private constructor(private readonly options: WorkServiceOptions) {
    this.leases = PrimaryLeases.create(options.timer);
    this.draining = DrainingMembers.create(options.timer);
    this.draining.update(options.view.current);
    this.failureReporter = PrimaryFailureReporter.create(options);
    const {leases} = this;
    this.primaries = HeldPrimaries.create({
      ...options,
      leases,
      findWorker: name => this.workers.get(name),
      findOrCreateWorker: (database, name) =>
        this.findOrCreateWorker(database, name),
      closeWorker: worker => this.closeWorker(worker),
    });
    this.renewer = LeaseRenewer.start({
      ...options,
      leases,
      onRenewed: assigned => this.primaries.recordLease(assigned),
    });
  }

  /** Starts to accept work from other VMs and to renew leases. */
  static start(options: WorkServiceOptions): WorkService {
    const service = new WorkService(options);
    const {network, view} = options;
    network.handleConversation(RUN_WORK, (request, channel) =>
      service.serve(request, channel),
    );
    network.handle(PING, async () => Right({alive: true}));
    network.handle(CURRENT_POSITION, async ({database, term}) => {
      const position = service.currentPosition(database, term);
      return position === undefined
        ? Left('not the lease holder')
        : Right(position);
    });
    const {primaries} = service;
    network.handle(COUNT_TRANSACTIONS, async groupTerm =>
      Right({open: primaries.countTransactions(groupTerm)}),
    );
    network.handle(REVOKE_LEASE, async request => {
      await primaries.revokeBefore(request, request.graceMilliseconds);
      return Right({stopped: true as const});
    });
    view.subscribe(current => {
      service.draining.update(current);
      service.updateWorkers();
    });
    options.machines.subscribe(() => service.updateWorkers());
    options.timer.every(WORKER_CHECK_INTERVAL_MILLISECONDS, () =>
      service.checkWorkers(),
    );
    return service;
  }

  /**
   * Refuses work that has not begun from now on, so that no work begins after it
   * was seen that none is in progress. Transactions in progress continue.
   */
  refuseNewWork(): void {
    this.endsAt = -Infinity;
  }

  /**
   * Refuses work from now on whose first statement could last longer than this
   * VM, which ends its work at a time on the timer's clock.
   */
  limitNewWork(endsAt: number): void {
    this.endsAt = endsAt;
  }

  /**
   * Stops lease renewal and closes all workers. Those who wait for work in
   * progress are told that it is lost.
   */
  stop(): void {
    this.refuseNewWork();
    this.renewer.stop();
    for (const worker of this.workers.values()) worker.close();
  }

  /** Whether a statement or transaction is in progress on any member. */
  get busy(): boolean {
    return [...this.workers.values()].some(({busy}) => busy);
  }

  /** Whether this VM holds the lease of a primary. */
  get holdsLease(): boolean {
    return this.primaries.holdsLease;
  }

  /**
   * Resolves once this VM holds no lease, at the latest after a time. A VM that
   * stops waits for this before it exits: after its exit, control can't hand a
   * lease over before it has run out.
   */
  waitUntilHandedOver(timeoutMilliseconds: number): Promise<void> {
    return this.primaries.waitUntilHandedOver(timeoutMilliseconds);
  }

  /** Runs one statement or one transaction on a member. */
  async serve(
    request: WorkRequest,
    channel: PeerChannel<WorkServerMessage, WorkClientMessage>,
  ): Promise<void> {
    const {timer} = this.options;
    if (timer.now() + request.first.timeoutMilliseconds > this.endsAt) {
      return this.refuse(channel, {
        reason: 'stopping',
        retryAfterMilliseconds: 0,
      });
    }
    const worker = this.findOrCreateWorker(request.database, request.member);
    if (worker === undefined) {
      return this.refuse(channel, {
        reason: 'unknownMember',
        retryAfterMilliseconds: UNKNOWN_MEMBER_RETRY_MILLISECONDS,
      });
    }
    await worker.serve(request, channel);
  }

  private refuse(
    channel: PeerChannel<WorkServerMessage, WorkClientMessage>,
    refusal: WorkRefusal,
  ): void {
    this.options.observer.onRefusal(refusal.reason);
    channel.send({kind: 'refused', refusal});
  }

  /**
   * Returns a log position that includes all writes acknowledged by the group
   * so far. Returns `undefined` if this VM does not hold the lease of the term
   * or does not know the position yet.
   */
  currentPosition(database: string, term: number): LogPosition | undefined {
    return this.primaries.currentPosition(database, term);
  }

  /**
   * Returns the expected wait of new work on a member in milliseconds, or
   * `undefined` if this VM has no worker for it.
   */
  expectedWait(member: string): number | undefined {
    return this.workers.get(member)?.expectedWaitMilliseconds;
  }

  /**
   * Closes the workers of members that were removed or have a new address, and
   * updates the connection limits of the others.
   */
  private updateWorkers(): void {
    const {groups} = this.options.view.current;
    for (const [name, worker] of this.workers) {
      const group = groups.find(each => findMember(each, name) !== undefined);
      const member = group && findMember(group, name);
      if (group === undefined || member === undefined) this.closeWorker(worker);
      else if (!isSameTarget(member, worker)) this.closeWorker(worker);
      else {
        worker.setConnections(this.connectionLimitsFor(group, member));
      }
    }
  }

  /** Logs the load of the workers, and closes the unused ones. */
  private checkWorkers(): void {
    for (const worker of this.workers.values()) {
      worker.logLoad();
      const unused = worker.unusedMilliseconds;
      if (unused > UNUSED_WORKER_TIMEOUT_MILLISECONDS) this.closeWorker(worker);
    }
  }

  private closeWorker(worker: MemberWorker): void {
    worker.close();
    const {name} = worker.target;
    if (this.workers.get(name) === worker) this.workers.delete(name);
  }

  private findOrCreateWorker(
    database: string,
    name: string,
  ): MemberWorker | undefined {
    const group = findGroup(this.options.view.current, database);
    const member = group && findMember(group, name);
    if (group === undefined || member?.state === 'removed') return undefined;
    if (member === undefined) return undefined;
    const existing = this.workers.get(name);
    if (existing !== undefined) return existing;
    const worker = this.createWorker(group, member);
    this.workers.set(name, worker);
    return worker;
  }

  private findMember(database: string, name: string): Member | undefined {
    const group = findGroup(this.options.view.current, database);
    return group && findMember(group, name);
  }

  private createWorker(group: DatabaseGroup, member: Member): MemberWorker {
    const {connector, timer, logger, observer} = this.options;
    const {database} = group;
    const {name, address} = member;
    return MemberWorker.create({
      target: {database, name, host: address.host, port: address.port},
      slots: slotsOf(member),
      connections: this.connectionLimitsFor(group, member),
      connector,
      timer,
      logger,
      observer,
      mayUse: term => term === 0 || this.leases.holds(database, term),
      acceptsNewWork: () => this.findMember(database, name)?.state === 'active',
      onBegun: request => this.recordDrainingWork(request),
      onSymptom: symptom =>
        void this.failureReporter.report(database, name, symptom),
      onAnswer: answer => this.primaries.recordAnswer(database, name, answer),
    });
  }

  private connectionLimitsFor(
    group: DatabaseGroup,
    member: Member,
  ): ConnectionLimits {
    const {self, view, machines} = this.options;
    const facts = {self, view: view.current, machines: machines.current};
    return connectionLimitsFor(facts, group, member);
  }

  private recordDrainingWork({
    database,
    member: name,
    primaryTerm,
    first,
  }: WorkRequest): void {
    const {view, logger, onDrainingWork} = this.options;
    const member = this.findMember(database, name);
    if (member?.state !== 'draining') return;
    const milliseconds = this.draining.drainingMilliseconds(member);
    logger.info('work for a draining member', {
      request: first.requestId,
      member: name,
      primaryTerm,
      drainingFor: milliseconds && Math.round(milliseconds),
      view: view.current.index,
    });
    onDrainingWork(primaryTerm > 0 ? 'primary' : 'replica');
  }
}

function isSameTarget(
  {address, state}: Member,
  {target}: MemberWorker,
): boolean {
  return (
    state !== 'removed' &&
    address.host === target.host &&
    address.port === target.port
  );
}
