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
import {memberTransitions} from './member_transitions.js';
import {packOutcome, unpackOutcome} from './propose_outcome.js';
import {StorageFolder} from './storage_folder.js';
import {ViewDistributor} from './view_distributor.js';
import {ViewStore} from './view_store.js';

const PROPOSE_TIMEOUT_MILLISECONDS = 4_000;
/** After this time no further control VM is tried. */
const PROPOSE_DEADLINE_MILLISECONDS = 6_000;
const FETCH_TIMEOUT_MILLISECONDS = 1_000;
/** A view that was the newest one within this time counts as current. */
const CURRENT_VIEW_MAXIMUM_AGE_MILLISECONDS = 2_000;
/**
 * A control VM answers audit queries from its own log if it had contact with a
 * quorum within this time.
 */
const LOCAL_AUDIT_MAXIMUM_AGE_MILLISECONDS = 500;

const NO_KNOWN_CONTROL_VM: Either<ControlError, CommandAnswer> = Left({
  kind: 'unavailable',
  reason: 'no control VM is known',
});

/** Options of {@link ControlClient}. */
export interface ControlClientOptions {
  readonly self: string;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly machines: Observable<readonly VirtualMachine[]>;
  /** The replicated log; `undefined` unless this is a control VM. */
  readonly log: ControlLog | undefined;
  /** Where the newest view is stored, on a VM with a disk. */
  readonly folder: StorageFolder | undefined;
  /**
   * Interval at which each VM fetches updates that it may have missed, unless
   * its view is known to be current.
   */
  readonly fetchMilliseconds?: number;
  /**
   * A view that was known to be the newest one within this time needs no fetch;
   * 0 by default.
   */
  readonly currentMilliseconds?: number;
}

/**
 * Gives a process access to control: proposes commands, and tracks the newest
 * view, whose index never decreases.
 */
export class ControlClient {
  private constructor(
    private readonly options: ControlClientOptions,
    private readonly distributor: ViewDistributor,
  ) {}

  /** Starts to receive views and to distribute them to other VMs. */
  static async start(options: ControlClientOptions): Promise<ControlClient> {
    const {network, log, folder, logger} = options;
    const store =
      folder === undefined ? undefined : ViewStore.of(folder, logger);
    const distributor = await ViewDistributor.start({...options, store});
    const client = new ControlClient(options, distributor);
    client.logMemberTransitions();
    network.handle(FETCH_AUDIT, async range =>
      log === undefined
        ? Left('not a control VM')
        : Right(readAudit(log, range)),
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

  /** The active view of this process. */
  get view(): Observable<ClusterView> {
    return this.distributor.view;
  }

  /**
   * Time since the view was last known to be the newest one, as far as this
   * process can tell; `Infinity` if it never was.
   */
  get viewAgeMilliseconds(): number {
    return this.distributor.ageMilliseconds;
  }

  /**
   * Whether what the view does not name may be taken as absent: it was
   * confirmed as the newest one a short time ago.
   */
  get isViewCurrent(): boolean {
    return this.viewAgeMilliseconds <= CURRENT_VIEW_MAXIMUM_AGE_MILLISECONDS;
  }

  /**
   * Resolves once a view is active that has all changes acknowledged before
   * this call, or the time is over.
   */
  refreshView(timeoutMilliseconds: number): Promise<void> {
    return this.distributor.refresh(timeoutMilliseconds);
  }

  /**
   * Proposes a command to the log through any control VM that can reach the
   * leader.
   */
  async propose(
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>> {
    const {log, timer} = this.options;
    const deadline = timer.now() + PROPOSE_DEADLINE_MILLISECONDS;
    // A control VM that knows no leader may be isolated itself, so the other
    // control VMs are tried first.
    const localLog = log?.leader.current === undefined ? undefined : log;
    let outcome = (await localLog?.propose(command)) ?? NO_KNOWN_CONTROL_VM;
    for (const voter of this.otherVoters()) {
      if (!wasNotAccepted(outcome) || timer.now() > deadline) return outcome;
      outcome = await this.proposeVia(voter, command);
    }
    if (!wasNotAccepted(outcome) || log === undefined) return outcome;
    return log.propose(command);
  }

  /**
   * Returns part of the audit trail, with the index up to which it is complete.
   */
  async audit(range: AuditRange): Promise<Either<ControlError, AuditTrail>> {
    const {log, network} = this.options;
    if (
      log !== undefined &&
      log.ageMilliseconds < LOCAL_AUDIT_MAXIMUM_AGE_MILLISECONDS
    ) {
      return Right(readAudit(log, range));
    }
    let newest: AuditTrail | undefined = log && readAudit(log, range);
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
    return Left({
      kind: 'unavailable',
      reason: 'no control VM answered the audit query',
    });
  }

  /**
   * Returns the operators' document of the newest catalogue, as confirmed by a
   * quorum; `Left` if no VM can confirm it.
   */
  async document(): Promise<Either<ControlError, CatalogueDocument>> {
    const {log, network, self} = this.options;
    const localAnswer = log && (await confirmedDocument(log));
    if (localAnswer?.isRight()) return Right(localAnswer.unsafeCoerce());
    let reason = 'no control leader answered';
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

  /**
   * Returns the status of the log as reported by its leader; `Left` if no
   * leader answers.
   */
  async report(): Promise<Either<ControlError, ControlReport>> {
    const {log, network, self} = this.options;
    if (log?.leading.current) return Right(log.report());
    let reason = 'no control leader answered';
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

  /** Logs which members changed their state, when this process learns it. */
  private logMemberTransitions(): void {
    const {logger} = this.options;
    let known = this.view.current;
    this.view.subscribe(view => {
      for (const {member, formerState} of memberTransitions(known, view)) {
        logger.info('member state changed', {
          member: member.name,
          database: member.database,
          formerState,
          state: member.state,
          incarnation: member.incarnation,
          sequence: member.reportSequence,
          view: view.index,
        });
      }
      known = view;
    });
  }

  private async proposeVia(
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

  /** Returns the other voters, the known leader first, as all others refuse. */
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
  if (!(await log.confirmLeading())) return Left('leadership unconfirmed');
  const {view, document} = log.state.current;
  const {version} = view.catalogue;
  return Right({version, document: document ?? null});
}

function readAudit(log: ControlLog, range: AuditRange): AuditTrail {
  const {view, audit} = log.state.current;
  const {afterIndex, from} = range;
  const records = audit.filter(
    ({index, at}) => index > afterIndex && at >= from,
  );
  return {index: Math.max(view.index, audit.at(-1)?.index ?? 0), records};
}

/**
 * Returns whether a command was certainly not accepted. Only then may it be
 * proposed again through another VM.
 */
function wasNotAccepted(outcome: Either<ControlError, CommandAnswer>): boolean {
  const error = outcome.isLeft() ? outcome.extract() : undefined;
  return (error as ControlError | undefined)?.kind === 'unavailable';
}
