import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {describePeerError, PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, VirtualMachine} from '@apricotlock/topology';
import {CommandAnswer, ControlCommand} from './control_command.js';
import {ControlError, ControlLog} from './control_log.js';
import {
  AuditRange,
  CatalogueDocument,
  FETCH_AUDIT,
  FETCH_DOCUMENT,
  PROPOSE,
} from './control_messages.js';
import {ControlReport, FETCH_REPORT} from './control_report.js';
import {AuditTrail} from './control_state.js';
import {packOutcome, unpackOutcome} from './propose_outcome.js';
import {StorageFolder} from './storage_folder.js';
import {ViewDistributor} from './view_distributor.js';
import {ViewStore} from './view_store.js';

const PROPOSE_TIMEOUT_MILLISECONDS = 4_000;
const PROPOSE_LIMIT_MILLISECONDS = 6_000;
const FETCH_TIMEOUT_MILLISECONDS = 1_000;
/** A log that was in touch with a quorum within this answers for itself. */
const FRESH_MILLISECONDS = 500;

const NOBODY_KNOWN: Either<ControlError, CommandAnswer> = Left({
  kind: 'unavailable',
  reason: 'no control VM is known',
});

/** What a process needs to take part in control. */
export interface ControlClientOptions {
  readonly self: string;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly machines: Observable<readonly VirtualMachine[]>;
  /** The log, on a control VM. */
  readonly log: ControlLog | undefined;
  /** Where the newest view is kept, on a VM with a disk. */
  readonly folder: StorageFolder | undefined;
  /** How often each VM asks another one for what it may have missed. */
  readonly fetchMilliseconds?: number;
}

/**
 * Every process's way to control: it proposes commands, and keeps the newest
 * view, which only ever goes up.
 */
export class ControlClient {
  private constructor(
    private readonly options: ControlClientOptions,
    private readonly distributor: ViewDistributor,
  ) {}

  /** Starts to take views and to pass them on. */
  static async start(options: ControlClientOptions): Promise<ControlClient> {
    const {network, log, folder, logger} = options;
    const store =
      folder === undefined ? undefined : ViewStore.of(folder, logger);
    const distributor = await ViewDistributor.start({...options, store});
    const client = new ControlClient(options, distributor);
    network.handle(FETCH_AUDIT, async range =>
      log === undefined ? Left('not a control VM') : Right(auditOf(log, range)),
    );
    network.handle(PROPOSE, async command =>
      log === undefined
        ? Left('not a control VM')
        : Right(packOutcome(await log.propose(command))),
    );
    network.handle(FETCH_DOCUMENT, async () =>
      log === undefined ? Left('not a control VM') : confirmedDocument(log),
    );
    network.handle(FETCH_REPORT, async () =>
      log === undefined ? Left('not a control VM') : Right(log.report()),
    );
    return client;
  }

  /** The view in force in this process. */
  get view(): Observable<ClusterView> {
    return this.distributor.view;
  }

  /**
   * How long ago the view was surely the newest one, as far as this process
   * can tell; `Infinity` if it never could.
   */
  get viewAgeMilliseconds(): number {
    return this.distributor.ageMilliseconds;
  }

  /** Puts a command into the log, wherever its leader is. */
  async propose(
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>> {
    const {log, timer} = this.options;
    const deadline = timer.now() + PROPOSE_LIMIT_MILLISECONDS;
    // A control VM that hears no leader may be the only one that does not.
    const own = log?.leader.current === undefined ? undefined : log;
    let outcome = (await own?.propose(command)) ?? NOBODY_KNOWN;
    for (const voter of this.otherVoters()) {
      if (!wasNotTaken(outcome) || timer.now() > deadline) return outcome;
      outcome = await this.proposeAt(voter, command);
    }
    if (!wasNotTaken(outcome) || log === undefined) return outcome;
    return log.propose(command);
  }

  /** A part of the audit trail; it says up to which index it goes. */
  async audit(range: AuditRange): Promise<Either<ControlError, AuditTrail>> {
    const {log, network} = this.options;
    if (log !== undefined && log.ageMilliseconds < FRESH_MILLISECONDS) {
      return Right(auditOf(log, range));
    }
    let newest: AuditTrail | undefined = log && auditOf(log, range);
    for (const voter of this.otherVoters()) {
      const answer = await network.call(
        voter.peerAddress,
        FETCH_AUDIT,
        range,
        FETCH_TIMEOUT_MILLISECONDS,
      );
      answer.ifRight(trail => {
        if (trail.index > (newest?.index ?? -1)) newest = trail;
      });
    }
    if (newest !== undefined) return Right(newest);
    return Left({kind: 'unavailable', reason: 'no control VM answered'});
  }

  /**
   * The operators' document of the newest catalogue, as a quorum confirms it;
   * `Left` if no VM can be sure.
   */
  async document(): Promise<Either<ControlError, CatalogueDocument>> {
    const {log, network, self} = this.options;
    const own = log && (await confirmedDocument(log));
    if (own?.isRight()) return Right(own.unsafeCoerce());
    let reason = 'no control VM leads';
    for (const voter of this.votersLeaderFirst()) {
      const answer = await network.call(
        voter.peerAddress,
        FETCH_DOCUMENT,
        {from: self},
        FETCH_TIMEOUT_MILLISECONDS,
      );
      if (answer.isRight()) return Right(answer.unsafeCoerce());
      answer.ifLeft(error => {
        reason = describePeerError(error);
      });
    }
    return Left({kind: 'unavailable', reason});
  }

  /** How the log is doing, from its leader, or from nobody. */
  async report(): Promise<Either<ControlError, ControlReport>> {
    const {log, network, self} = this.options;
    if (log?.leading.current) return Right(log.report());
    let reason = 'no control VM leads';
    for (const voter of this.otherVoters()) {
      const answer = await network.call(
        voter.peerAddress,
        FETCH_REPORT,
        {from: self},
        FETCH_TIMEOUT_MILLISECONDS,
      );
      const report = answer.toMaybe().extract();
      if (report?.leading) return Right(report);
      answer.ifLeft(error => {
        reason = describePeerError(error);
      });
    }
    return Left({kind: 'unavailable', reason});
  }

  private async proposeAt(
    voter: VirtualMachine,
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>> {
    const answer = await this.options.network.call(
      voter.peerAddress,
      PROPOSE,
      command,
      PROPOSE_TIMEOUT_MILLISECONDS,
    );
    return unpackOutcome(answer);
  }

  /** The VM that is heard as the leader first: the others only refuse. */
  private votersLeaderFirst(): readonly VirtualMachine[] {
    const leader = this.options.log?.leader.current;
    const rank = ({name}: VirtualMachine) => (name === leader ? 0 : 1);
    return [...this.otherVoters()].sort((a, b) => rank(a) - rank(b));
  }

  private otherVoters(): readonly VirtualMachine[] {
    const {machines, self} = this.options;
    return machines.current.filter(
      machine => machine.controlVoter && machine.name !== self,
    );
  }
}

async function confirmedDocument(
  log: ControlLog,
): Promise<Either<string, CatalogueDocument>> {
  if (!(await log.confirmLeading())) return Left('not leading for certain');
  const {view, document} = log.state.current;
  const {version} = view.catalogue;
  return Right({version, document: document ?? null});
}

function auditOf(log: ControlLog, range: AuditRange): AuditTrail {
  const {view, audit} = log.state.current;
  const {afterIndex, from} = range;
  const records = audit.filter(
    ({index, at}) => index > afterIndex && at >= from,
  );
  return {index: Math.max(view.index, audit.at(-1)?.index ?? 0), records};
}

/** Only what was certainly not taken may be asked of another VM. */
function wasNotTaken(outcome: Either<ControlError, CommandAnswer>): boolean {
  const error = outcome.isLeft() ? outcome.extract() : undefined;
  return (error as ControlError | undefined)?.kind === 'unavailable';
}
