import {Either, Left, Right} from 'purify-ts';
import {
  CommandAnswer,
  ControlCommand,
  ControlError,
  ControlLog,
  ControlReport,
  ControlState,
  SingleNodeControlLog,
} from '@apricotlock/control';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerCall, PeerError} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {
  COUNT_TRANSACTIONS,
  REPORT_PRIMARY_FAILURE,
  RENEW_LEASES,
  REVOKE_LEASE,
} from '@apricotlock/work';
import {
  DrainDeadlines,
  LeaseGrantor,
  MemberAdminClient,
  PrimarySupervisor,
  PromotionClient,
} from '../src/index.js';
import {DATABASE} from './fake_control.js';
import {FakeGroup} from './fake_group.js';
import {FakeNetwork} from './fake_network.js';

/** The time that entry VMs have to stop. */
export const GRACE_MILLISECONDS = 6_000;

/** What the control VMs of one test share. */
export interface ControlSurroundings {
  readonly committed: SingleNodeControlLog;
  readonly group: FakeGroup;
  readonly promotions: PromotionClient;
  readonly entryMachines: readonly VirtualMachine[];
  readonly timer: TimerService;
  readonly drainMilliseconds: number;
  /** Called when a lease holder is told to stop using earlier terms. */
  readonly onRevoked: () => void;
  /** The open transactions that a lease holder tells, if it answers. */
  readonly openTransactions?: () => number | undefined;
}

/** One process' access to a log that all control VMs of a test share. */
class SharedControlLog extends ControlLog {
  override readonly leading = Observable.of(false);
  override readonly ageMilliseconds = 0;
  override readonly leader: Observable<string | undefined>;
  private term: number | undefined;

  constructor(
    self: string,
    private readonly committed: SingleNodeControlLog,
  ) {
    super();
    this.leader = Observable.of<string | undefined>(self);
  }

  override get state(): Observable<ControlState> {
    return this.committed.state;
  }

  override get leadingTerm(): number | undefined {
    return this.term;
  }

  lead(term: number): void {
    this.term = term;
    this.leading.set(true);
  }

  stepDown(): void {
    this.term = undefined;
    this.leading.set(false);
  }

  override get isCertainlyLeading(): boolean {
    return this.leading.current;
  }

  override async confirmLeading(): Promise<boolean> {
    return this.leading.current;
  }

  override report(): ControlReport {
    return this.committed.report();
  }

  override async proposeInTerm(
    command: ControlCommand,
    leadingTerm: number,
  ): Promise<Either<ControlError, CommandAnswer>> {
    return this.term === leadingTerm
      ? this.propose(command)
      : Left({kind: 'unavailable', reason: 'the term is over'});
  }

  override async propose(
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>> {
    return this.leading.current
      ? this.committed.propose(command)
      : Left({kind: 'unavailable', reason: 'not leading'});
  }
}

/** Delivers revocations and questions to the lease holder of the test. */
class RevocationNetwork extends FakeNetwork {
  constructor(
    private readonly onRevoked: () => void,
    private readonly openTransactions: () => number | undefined,
  ) {
    super();
  }

  override async call<Request, Answer>(
    to: unknown,
    call: PeerCall<Request, Answer>,
  ): Promise<Either<PeerError, Answer>> {
    if (call.name === COUNT_TRANSACTIONS.name) {
      const open = this.openTransactions();
      if (open !== undefined) return Right({open} as Answer);
      return Left({kind: 'noAnswer', reason: 'silent'});
    }
    if (call.name === REVOKE_LEASE.name) this.onRevoked();
    return super.call(to, call);
  }
}

/** A control VM with its supervisor of primaries and its grantor of leases. */
export class FakeControlVm {
  private constructor(
    private readonly log: SharedControlLog,
    private readonly network: FakeNetwork,
  ) {}

  /** Starts a process that does not lead yet. */
  static start(self: string, surroundings: ControlSurroundings): FakeControlVm {
    const {committed, group, promotions, entryMachines, timer, onRevoked} =
      surroundings;
    const {drainMilliseconds, openTransactions = () => undefined} =
      surroundings;
    const log = new SharedControlLog(self, committed);
    const network = new RevocationNetwork(onRevoked, openTransactions);
    const deadlines = DrainDeadlines.start({log, timer, drainMilliseconds});
    PrimarySupervisor.start({
      self,
      publicName: self,
      log,
      network,
      memberAdmin: MemberAdminClient.create(group, timer),
      promotions,
      deadlines,
      grantor: LeaseGrantor.start({log, network, timer, deadlines}),
      machines: Observable.of(entryMachines),
      entryMachines: () => entryMachines,
      graceMilliseconds: GRACE_MILLISECONDS,
      timer,
      logger: Logger.silent(),
    });
    return new FakeControlVm(log, network);
  }

  lead(term: number): void {
    this.log.lead(term);
  }

  stepDown(): void {
    this.log.stepDown();
  }

  /** Asks for the lease of a term; resolves to whether it was granted. */
  async renew(holder: string, term: number): Promise<boolean> {
    const handler = this.network.handlers.get(RENEW_LEASES.name);
    const groups = [{database: DATABASE, term}];
    const answer = ((await handler?.({holder, groups} as never)) ??
      Right({granted: []})) as Either<string, {granted: readonly unknown[]}>;
    return answer.map(({granted}) => granted.length > 0).orDefault(false);
  }

  /** Reports that nothing listens at the address of the primary. */
  async reportFailure(reporter: string, term: number): Promise<void> {
    const handler = this.network.handlers.get(REPORT_PRIMARY_FAILURE.name);
    const symptom = 'refused';
    await handler?.({database: DATABASE, term, reporter, symptom} as never);
  }
}
