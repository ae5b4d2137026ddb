import {Either, Left, Right} from 'purify-ts';
import {Observable, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {applyEntry} from './apply_entry.js';
import {Bootstrap, InitialVoter} from './bootstrap.js';
import {Consensus} from './consensus.js';
import {FORWARD, TAKE_OVER} from './consensus_messages.js';
import {CONSENSUS_TIMINGS, ConsensusTimings} from './consensus_timings.js';
import {CommandAnswer, ControlCommand} from './control_command.js';
import {
  ControlConfiguration,
  quorumOf,
  votersOf,
} from './control_configuration.js';
import {ControlError, ControlLog} from './control_log.js';
import {ControlPeers} from './control_peers.js';
import {ControlReport, failureMargin} from './control_report.js';
import {ControlState} from './control_state.js';
import {DurableLog} from './durable_log.js';
import {Leadership} from './leadership.js';
import {packOutcome, unpackOutcome} from './propose_outcome.js';
import {
  FaultTolerance,
  maximumVotersPerDataCentre,
  requiredVoterCount,
} from './fault_tolerance.js';
import {RandomSource} from './random_source.js';
import {describeStorageError, StorageError} from './storage_error.js';
import {StorageFolder} from './storage_folder.js';
import {VoterRepair} from './voter_repair.js';

const RETRY_INTERVAL_MILLISECONDS = 40;
const OPEN_RETRY_INTERVAL_MILLISECONDS = 300;
const CONFIRM_TIMEOUT_MILLISECONDS = 700;
/** Time for a message of the leader to reach a member or an outside system. */
const DELIVERY_MILLISECONDS = 50;

type Outcome = Either<ControlError, CommandAnswer>;

/** Options of {@link ReplicatedControlLog}. */
export interface ReplicatedControlLogOptions {
  readonly self: string;
  readonly dataCentre: string;
  /** The voters of a new cluster; they must be the same on all of them. */
  readonly initialVoters: readonly InitialVoter[];
  readonly folder: StorageFolder;
  readonly newDiskId: () => string;
  readonly network: PeerNetwork;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly timings?: Partial<ConsensusTimings>;
  /**
   * The losses to survive, which decide the number of voters; by default there
   * are as many voters as initial voters.
   */
  readonly faultTolerance?: FaultTolerance | undefined;
}

/**
 * A log of commands that is replicated to a quorum of control VMs and stored on
 * their disks.
 */
export class ReplicatedControlLog extends ControlLog {
  override readonly state: Observable<ControlState>;
  override readonly leading = Observable.of(false);
  /** The number of voters to maintain. */
  readonly targetVoterCount: number;
  private readonly timings: ConsensusTimings;
  private readonly peers: ControlPeers;
  private readonly consensus: Consensus;
  private readonly bootstrap: Bootstrap;
  private readonly repair: VoterRepair;
  private appliedIndex: number;
  private stopping = false;
  /** The newest committed configuration; a newer one may be in the log. */
  private committedConfiguration: ControlConfiguration;

  private constructor(
    private readonly options: ReplicatedControlLogOptions,
    private readonly log: DurableLog,
  ) {
    super();
    const {network, machines, initialVoters, faultTolerance} = options;
    this.timings = {...CONSENSUS_TIMINGS, ...options.timings};
    this.targetVoterCount =
      faultTolerance === undefined
        ? initialVoters.length
        : requiredVoterCount(faultTolerance);
    const {timings} = this;
    this.state = Observable.of(log.snapshot.state);
    this.appliedIndex = log.snapshot.index;
    this.committedConfiguration = log.snapshot.configuration;
    this.peers = ControlPeers.of(
      network,
      machines,
      timings.callTimeoutMilliseconds,
    );
    const shared = {...options, log, peers: this.peers, timings};
    this.consensus = Consensus.start({
      ...shared,
      onCommitted: index => this.applyCommitted(index),
      onSnapshotInstalled: () => this.restoreSnapshot(),
    });
    this.consensus.leader.subscribe(() => this.publishLeading());
    log.writable.subscribe(writable => this.handleDisk(writable));
    this.bootstrap = Bootstrap.start(shared, () => this.consensus.campaign());
    this.repair = VoterRepair.start({
      ...shared,
      targetVoterCount: this.targetVoterCount,
      maximumPerDataCentre:
        faultTolerance === undefined
          ? Infinity
          : maximumVotersPerDataCentre(this.targetVoterCount, faultTolerance),
      leadership: () => this.establishedLeadership(),
      committedIndex: () => this.appliedIndex,
    });
    network.handle(FORWARD, async command =>
      Right(packOutcome(await this.proposeLocally(command))),
    );
  }

  /**
   * Opens the log and joins the consensus. While the disk refuses the files, it
   * tries again. `Left` if their data is damaged.
   */
  static async start(
    options: ReplicatedControlLogOptions,
  ): Promise<Either<StorageError, ReplicatedControlLog>> {
    const {timer, logger} = options;
    const startedAt = timer.now();
    const opened = await openWhenDiskAllows(options);
    return opened.map(log => {
      logger.info('opened the control log', {
        index: log.last.index,
        snapshot: log.snapshot.index,
        milliseconds: Math.round(timer.now() - startedAt),
      });
      return new ReplicatedControlLog(options, log);
    });
  }

  override get leader(): Observable<string | undefined> {
    return this.consensus.leader;
  }

  override async propose(command: ControlCommand): Promise<Outcome> {
    const {timer} = this.options;
    const deadline = timer.now() + this.timings.proposalTimeoutMilliseconds;
    for (;;) {
      const outcome = await this.proposeOnce(command);
      const error = outcome.isLeft() ? outcome.extract() : undefined;
      if (error === undefined || timer.now() >= deadline) return outcome;
      // A command with a change id can be safely repeated, whether it was
      // accepted or not.
      const repeatable = 'origin' in command;
      const kind = (error as ControlError).kind;
      if (kind === 'unknown' && !repeatable) return outcome;
      await timer.sleep(RETRY_INTERVAL_MILLISECONDS);
    }
  }

  override async proposeInTerm(
    command: ControlCommand,
    leadingTerm: number,
  ): Promise<Outcome> {
    if (this.leadingTerm !== leadingTerm) {
      const reason = 'the term of the decision is over';
      return Left({kind: 'unavailable', reason});
    }
    return this.proposeLocally(command);
  }

  override get leadingTerm(): number | undefined {
    return this.establishedLeadership()?.firstPosition.term;
  }

  override async confirmLeading(): Promise<boolean> {
    const leadership = this.establishedLeadership();
    if (leadership === undefined) return false;
    const confirmed = await withTimeout(
      this.options.timer,
      CONFIRM_TIMEOUT_MILLISECONDS,
      leadership.confirm(),
    );
    return confirmed === true && this.establishedLeadership() === leadership;
  }

  override get isCertainlyLeading(): boolean {
    const leadership = this.establishedLeadership();
    // While this VM hands over, voters grant their votes to its successor.
    if (leadership === undefined || this.stopping) return false;
    const silence = this.options.timer.now() - leadership.quorumContactAt;
    const {electionMinimumMilliseconds} = this.timings;
    return silence + DELIVERY_MILLISECONDS < electionMinimumMilliseconds;
  }

  /** Returns the status of the log, which is complete only on the leader. */
  override report(): ControlReport {
    const {
      log,
      options,
      consensus,
      committedConfiguration: configuration,
    } = this;
    const {leadership} = consensus;
    const now = options.timer.now();
    const members = configuration.members.map(({address: _, ...member}) => {
      const isOwn = member.diskId === log.vote.diskId;
      const replicator = leadership?.replicatorOf(member.diskId);
      const matchIndex = isOwn ? log.last.index : (replicator?.matchIndex ?? 0);
      return {
        ...member,
        silentMilliseconds: isOwn
          ? 0
          : now - (replicator?.lastContactAt ?? now),
        entriesBehind: log.last.index - matchIndex,
        diskReplaced: replicator?.hasDifferentDisk ?? false,
      };
    });
    const live = members.filter(
      ({silentMilliseconds, diskReplaced}) =>
        !diskReplaced &&
        silentMilliseconds < this.timings.electionMaximumMilliseconds,
    );
    return {
      leading: this.leading.current,
      leader: this.leader.current ?? null,
      term: log.vote.term,
      index: this.appliedIndex,
      quorum: votersOf(configuration).length > 0 ? quorumOf(configuration) : 0,
      margin: failureMargin(
        configuration,
        new Set(live.map(({diskId}) => diskId)),
      ),
      members,
    };
  }

  /** The number of voters in the newest committed configuration. */
  get voterCount(): number {
    return votersOf(this.committedConfiguration).length;
  }

  /** Time since this VM last had contact with a quorum. */
  override get ageMilliseconds(): number {
    return this.options.timer.now() - this.consensus.leaderContactAt;
  }

  override get stateAgeMilliseconds(): number {
    const {leadership} = this.consensus;
    // A successor that was asked to take over may lead already, since voters
    // then grant their votes despite a recent contact with this leader.
    const isUncertain = !this.leading.current || this.stopping;
    if (leadership !== undefined && isUncertain) return Infinity;
    return this.options.timer.now() - this.consensus.newestKnownAt;
  }

  /** Hands leadership over if this VM leads, then leaves the consensus. */
  async stop(): Promise<void> {
    this.bootstrap.stop();
    this.repair.stop();
    this.stopping = true;
    if (await this.handOver()) await this.waitUntilNotLeading();
    this.consensus.stop();
    await this.log.close();
  }

  private async proposeOnce(command: ControlCommand): Promise<Outcome> {
    if (this.consensus.leadership !== undefined) {
      return this.proposeLocally(command);
    }
    const leader = this.leader.current;
    const member = this.log.configuration.members.find(
      ({name}) => name === leader,
    );
    if (member === undefined) {
      return Left({kind: 'unavailable', reason: 'no control leader is known'});
    }
    return unpackOutcome(await this.peers.call(member, FORWARD, command));
  }

  private async proposeLocally(command: ControlCommand): Promise<Outcome> {
    const {leadership} = this.consensus;
    if (leadership === undefined) {
      return Left({kind: 'unavailable', reason: 'not leading'});
    }
    const outcome = await withTimeout(
      this.options.timer,
      this.timings.proposalTimeoutMilliseconds,
      leadership.propose({kind: 'command', command}),
    );
    if (outcome === TIMED_OUT) {
      return Left({
        kind: 'unknown',
        reason: 'not committed by a quorum within the timeout',
      });
    }
    return outcome.map(answer => answer as CommandAnswer);
  }

  /** Applies all committed entries. */
  private applyCommitted(committedIndex: number): void {
    const answers = new Map<number, CommandAnswer | undefined>();
    let state = this.state.current;
    while (this.appliedIndex < committedIndex) {
      const entry = this.log.entryAt(this.appliedIndex + 1);
      if (entry === undefined) break;
      const applied = applyEntry(state, entry);
      state = applied.state;
      if (entry.body.kind === 'configuration') {
        this.committedConfiguration = entry.body.configuration;
      }
      answers.set(entry.index, applied.answer);
      this.appliedIndex = entry.index;
    }
    if (answers.size === 0) return;
    if (state !== this.state.current) this.state.set(state);
    for (const [index, answer] of answers) {
      this.consensus.leadership?.resolveProposal(index, answer);
    }
    this.publishLeading();
    this.compactIfNeeded();
  }

  private restoreSnapshot(): void {
    const {snapshot} = this.log;
    if (snapshot.index <= this.appliedIndex) return;
    this.appliedIndex = snapshot.index;
    this.committedConfiguration = snapshot.configuration;
    this.state.set(snapshot.state);
  }

  private compactIfNeeded(): void {
    const {log, appliedIndex: index} = this;
    if (!log.needsCompaction || index <= log.snapshot.index) return;
    const term = log.termAt(index);
    if (term !== undefined) log.compact({index, term}, this.state.current);
  }

  /**
   * Returns the leadership once the first entry of its term has been applied,
   * and with it all earlier entries.
   */
  private establishedLeadership(): Leadership | undefined {
    const {leadership} = this.consensus;
    if (leadership === undefined) return undefined;
    return this.appliedIndex >= leadership.firstPosition.index
      ? leadership
      : undefined;
  }

  private publishLeading(): void {
    const leading = this.establishedLeadership() !== undefined;
    if (leading !== this.leading.current) this.leading.set(leading);
  }

  /**
   * Asks the most up-to-date voter to take over the leadership. Returns whether
   * there was one to ask.
   */
  private async handOver(): Promise<boolean> {
    const successor = this.mostUpToDateVoter();
    if (successor === undefined) return false;
    const {term} = this.log.vote;
    await this.peers.call(successor, TAKE_OVER, {to: successor.diskId, term});
    return true;
  }

  /**
   * Gives up leadership when the disk accepts no writes. Another voter leads
   * until then, and this VM catches up when its disk accepts writes again.
   */
  private handleDisk(writable: boolean): void {
    const {logger} = this.options;
    if (writable) {
      logger.info('the disk of the control log accepts writes again', {});
      return;
    }
    if (this.consensus.leadership === undefined) return;
    logger.warn('giving up control leadership: the disk accepts no writes', {});
    void this.handOver();
    this.consensus.giveUpLeadership();
  }

  private mostUpToDateVoter() {
    const {leadership} = this.consensus;
    if (leadership === undefined) return undefined;
    const matchOf = (diskId: string) =>
      leadership.replicatorOf(diskId)?.matchIndex ?? 0;
    return votersOf(this.log.configuration)
      .filter(({diskId}) => diskId !== this.log.vote.diskId)
      .sort((left, right) => matchOf(right.diskId) - matchOf(left.diskId))[0];
  }

  private async waitUntilNotLeading(): Promise<void> {
    const {timer} = this.options;
    const {electionMaximumMilliseconds} = this.timings;
    await withTimeout(
      timer,
      electionMaximumMilliseconds,
      this.leading.waitUntil(leading => !leading),
    );
  }
}

/** Opens the log; waits while the disk refuses its files. */
async function openWhenDiskAllows(
  options: ReplicatedControlLogOptions,
): Promise<Either<StorageError, DurableLog>> {
  const {folder, newDiskId, timer, logger} = options;
  const context = {
    timer,
    onWriteFailed: (error: StorageError) =>
      logger.error('failed to write the control log', {
        failure: describeStorageError(error),
      }),
    slow: (milliseconds: number) =>
      logger.warn('slow write to the control log', {
        milliseconds: Math.round(milliseconds),
      }),
  };
  for (let attempt = 0; ; attempt++) {
    const opened = await DurableLog.open(folder, newDiskId, context);
    if (opened.isRight()) return opened;
    const error = opened.extract() as StorageError;
    if (error.kind !== 'disk') return opened;
    if (attempt === 0) {
      logger.error('cannot open the control log yet', {
        failure: describeStorageError(error),
      });
    }
    await timer.sleep(OPEN_RETRY_INTERVAL_MILLISECONDS);
  }
}
