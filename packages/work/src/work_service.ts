import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerChannel, PeerNetwork} from '@apricotlock/peer';
import {
  laterPosition,
  LogPosition,
  MemberConnector,
  StatementAnswer,
} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {
  ClusterView,
  DatabaseGroup,
  findGroup,
  findMember,
  Member,
  ownerOf,
  VirtualMachine,
} from '@apricotlock/topology';
import {ConnectionLimits} from './connection_set.js';
import {LeaderClient} from './leader_client.js';
import {REPORT_PRIMARY, STOP_USING, Symptom} from './lease_messages.js';
import {LeaseRenewer} from './lease_renewer.js';
import {MemberWorker} from './member_worker.js';
import {PrimaryLeases} from './primary_leases.js';
import {
  CURRENT_POSITION,
  PING,
  WORK,
  WorkDown,
  WorkRequest,
  WorkUp,
} from './work_messages.js';

const DEFAULT_SLOTS = 2;
const DEFAULT_CONNECTIONS = 16;
/** The part of a primary's connections for the VM that holds it. */
const HOLDER_PART = 0.7;
/** The part of a replica's connections for the VM that works on it as a rule. */
const REGULAR_PART = 0.5;
/** After how long without work a member is let go. */
const UNUSED_LIMIT_MILLISECONDS = 5_000;
const UNUSED_CHECK_MILLISECONDS = 1_000;
const REPORT_TIMEOUT_MILLISECONDS = 600;
/** Between two reports of the same symptom. */
const REPORT_PAUSE_MILLISECONDS = 150;
const STOP_POLL_MILLISECONDS = 5;
const POSITION_RETRY_MILLISECONDS = 50;
const UNKNOWN_MEMBER_RETRY_MILLISECONDS = 300;
/** Connections that are kept open beyond one for each slot. */
const SPARE_CONNECTIONS = 1;

/** What working on members needs. */
export interface WorkServiceOptions {
  readonly self: string;
  readonly view: Observable<ClusterView>;
  /** The VMs that work on members. */
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly connector: MemberConnector;
  readonly leader: LeaderClient;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/** A primary that this VM may use, and how far its log is known to be. */
interface Held {
  readonly term: number;
  readonly position: LogPosition | undefined;
}

/**
 * What this VM does on members, for its own sessions and for those of others:
 * one worker for each member that somebody asks for. A primary is worked on
 * only under a lease; replicas by whoever is asked.
 */
export class WorkService {
  private readonly workers = new Map<string, MemberWorker>();
  private readonly held = new Map<string, Held>();
  private readonly reportedAt = new Map<string, number>();
  private readonly leases: PrimaryLeases;
  private readonly renewer: LeaseRenewer;

  private constructor(private readonly options: WorkServiceOptions) {
    this.leases = PrimaryLeases.create(options.timer);
    const {leases} = this;
    this.renewer = LeaseRenewer.start({
      ...options,
      leases,
      renewed: (database, term) => this.leaseHeld(database, term),
    });
  }

  /** Starts to serve other VMs and to renew leases. */
  static start(options: WorkServiceOptions): WorkService {
    const service = new WorkService(options);
    const {network, view} = options;
    network.handleConversation(WORK, (request, channel) =>
      service.serve(request, channel),
    );
    network.handle(PING, async () => Right({alive: true}));
    network.handle(CURRENT_POSITION, async ({database, term}) => {
      const position = service.currentPosition(database, term);
      return position === undefined ? Left('not the holder') : Right(position);
    });
    network.handle(STOP_USING, async ({database, term, graceMilliseconds}) =>
      service.stopUsing(database, term, graceMilliseconds),
    );
    view.subscribe(() => service.viewChanged());
    options.machines.subscribe(() => service.viewChanged());
    options.timer.every(UNUSED_CHECK_MILLISECONDS, () => service.dropUnused());
    return service;
  }

  /** Ends all tasks; what is under way is cut. */
  stop(): void {
    this.renewer.stop();
    for (const worker of this.workers.values()) worker.close();
  }

  /** Whether something is under way on any member. */
  get busy(): boolean {
    return [...this.workers.values()].some(({busy}) => busy);
  }

  /** Carries out one statement or one transaction on a member. */
  async serve(
    request: WorkRequest,
    channel: PeerChannel<WorkDown, WorkUp>,
  ): Promise<void> {
    const worker = this.workerFor(request.database, request.member);
    if (worker === undefined) {
      const retryAfterMilliseconds = UNKNOWN_MEMBER_RETRY_MILLISECONDS;
      const refusal = {
        reason: 'unknownMember',
        retryAfterMilliseconds,
      } as const;
      channel.send({kind: 'refused', refusal});
      return;
    }
    await worker.serve(request, channel);
  }

  /**
   * A position that covers all that was acknowledged by the group up to now;
   * `undefined` unless this VM may use the primary of the term.
   */
  currentPosition(database: string, term: number): LogPosition | undefined {
    const held = this.held.get(database);
    if (held?.term !== term || !this.leases.holds(database, term)) {
      return undefined;
    }
    return held.position;
  }

  /** How long new work on a member would wait here, if this VM knows. */
  expectedWait(member: string): number | undefined {
    return this.workers.get(member)?.expectedWaitMilliseconds;
  }

  /** Lets go of members that are gone, and takes over others' new parts. */
  private viewChanged(): void {
    const {groups} = this.options.view.current;
    for (const [name, worker] of this.workers) {
      const group = groups.find(each => findMember(each, name) !== undefined);
      const member = group && findMember(group, name);
      if (group === undefined || member === undefined) this.drop(worker);
      else if (!isSameTarget(member, worker)) this.drop(worker);
      else {
        const limits = this.connectionsFor(group, member, slotsOf(member));
        worker.setConnections(limits);
      }
    }
  }

  private dropUnused(): void {
    for (const worker of this.workers.values()) {
      const unused = worker.unusedMilliseconds;
      if (unused > UNUSED_LIMIT_MILLISECONDS) this.drop(worker);
    }
  }

  private drop(worker: MemberWorker): void {
    worker.close();
    this.workers.delete(worker.target.name);
  }

  private workerFor(database: string, name: string): MemberWorker | undefined {
    const group = findGroup(this.options.view.current, database);
    const member = group && findMember(group, name);
    if (group === undefined || member?.state === 'removed') return undefined;
    if (member === undefined) return undefined;
    const known = this.workers.get(name);
    if (known !== undefined) return known;
    const worker = this.createWorker(group, member);
    this.workers.set(name, worker);
    return worker;
  }

  private createWorker(group: DatabaseGroup, member: Member): MemberWorker {
    const {connector, timer, logger} = this.options;
    const {database} = group;
    const {name, address} = member;
    const slots = slotsOf(member);
    const worker = MemberWorker.create({
      target: {database, name, host: address.host, port: address.port},
      slots,
      connections: this.connectionsFor(group, member, slots),
      connector,
      timer,
      logger,
      mayUse: term => term === 0 || this.leases.holds(database, term),
      trouble: symptom => void this.report(database, name, symptom),
      answered: answer => this.noteAnswer(database, name, answer),
    });
    return worker;
  }

  /** How many connections this VM may have to a member, by its part in it. */
  private connectionsFor(
    group: DatabaseGroup,
    member: Member,
    slots: number,
  ): ConnectionLimits {
    const {self, machines} = this.options;
    const all = this.connectionLimit(member);
    const needed = slots + SPARE_CONNECTIONS;
    const atLeast = (part: number) => Math.max(1, Math.floor(all * part));
    if (group.primary === member.name) {
      return group.holder === self
        ? {maximum: atLeast(HOLDER_PART), warm: needed}
        : {maximum: 1, warm: 0};
    }
    const regular = ownerOf(member.name, member.dataCentre, machines.current);
    return regular?.name === self
      ? {maximum: atLeast(REGULAR_PART), warm: needed}
      : {maximum: needed, warm: 0};
  }

  /** How many connections a member takes from all VMs together. */
  private connectionLimit({database, capacity}: Member): number {
    const {entries} = this.options.view.current.catalogue;
    const allowed = entries
      .filter(entry => entry.database === database)
      .map(({limits}) => limits.connections);
    const byCatalogue =
      allowed.length === 0 ? DEFAULT_CONNECTIONS : Math.max(...allowed);
    return Math.min(byCatalogue, capacity?.connections ?? byCatalogue);
  }

  /** Every answer of the primary tells how far its log is. */
  private noteAnswer(
    database: string,
    member: string,
    {position}: StatementAnswer,
  ): void {
    const group = findGroup(this.options.view.current, database);
    const held = this.held.get(database);
    if (group?.primary !== member || held?.term !== group.term) return;
    this.held.set(database, {
      term: held.term,
      position: laterPosition(held.position, position),
    });
  }

  private leaseHeld(database: string, term: number): void {
    if (this.held.get(database)?.term === term) return;
    this.held.set(database, {term, position: undefined});
    const group = findGroup(this.options.view.current, database);
    const primary = group?.primary;
    if (primary === undefined) return;
    void this.learnPosition(database, term, primary);
  }

  /** Nothing may be said of the group's position before the primary has. */
  private async learnPosition(
    database: string,
    term: number,
    primary: string,
  ): Promise<void> {
    const {timer, logger} = this.options;
    const isOver = () =>
      this.held.get(database)?.term !== term ||
      !this.leases.holds(database, term);
    while (!isOver()) {
      const worker = this.workerFor(database, primary);
      const position = await worker?.currentPosition();
      if (position !== undefined && !isOver()) {
        const known = this.held.get(database)?.position;
        this.held.set(database, {
          term,
          position: laterPosition(known, position),
        });
        logger.info('using a primary', {
          database,
          term,
          primary,
          position: `${position.term}.${position.number}`,
        });
        return;
      }
      await timer.sleep(POSITION_RETRY_MILLISECONDS);
    }
  }

  /** Uses the primary of earlier terms no more; resolves once that is so. */
  private async stopUsing(
    database: string,
    term: number,
    graceMilliseconds: number,
  ): Promise<Either<string, {stopped: true}>> {
    const {timer, logger, view} = this.options;
    const group = findGroup(view.current, database);
    const held = this.held.get(database);
    const worker = this.workers.get(group?.primary ?? '');
    const deadline = timer.now() + graceMilliseconds;
    while (worker?.busy === true && timer.now() < deadline) {
      await timer.sleep(STOP_POLL_MILLISECONDS);
    }
    this.leases.stop(database, term);
    if (held !== undefined && held.term < term) {
      this.held.delete(database);
      worker?.close();
      this.workers.delete(worker?.target.name ?? '');
      logger.info('no longer using a primary', {database, before: term});
    }
    return Right({stopped: true});
  }

  private async report(
    database: string,
    member: string,
    symptom: Symptom,
  ): Promise<void> {
    const {self, view, timer, leader, logger} = this.options;
    const group = findGroup(view.current, database);
    if (group?.primary !== member || group.holder !== self) return;
    const {term} = group;
    const key = `${database} ${term} ${symptom}`;
    const last = this.reportedAt.get(database + symptom) ?? -Infinity;
    if (timer.now() - last < REPORT_PAUSE_MILLISECONDS) return;
    this.reportedAt.set(database + symptom, timer.now());
    logger.warn('reporting a primary', {database, term, member, symptom});
    const heard = await leader.call(
      REPORT_PRIMARY,
      {database, term, reporter: self, symptom},
      REPORT_TIMEOUT_MILLISECONDS,
    );
    heard.ifLeft(() => logger.warn('nobody heard the report', {report: key}));
  }
}

function slotsOf({capacity}: Member): number {
  return capacity?.slots ?? DEFAULT_SLOTS;
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
