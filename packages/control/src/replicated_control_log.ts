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
import {ControlReport, marginOf} from './control_report.js';
import {ControlState} from './control_state.js';
import {DurableLog} from './durable_log.js';
import {Leadership} from './leadership.js';
import {packOutcome, unpackOutcome} from './propose_outcome.js';
import {RandomSource} from './random_source.js';
import {StorageError} from './storage_error.js';
import {StorageFolder} from './storage_folder.js';
import {VoterRepair} from './voter_repair.js';

const RETRY_MILLISECONDS = 40;
const CONFIRM_LIMIT_MILLISECONDS = 700;
const CONFIRM_POLL_MILLISECONDS = 10;

type Outcome = Either<ControlError, CommandAnswer>;

/** What a control VM needs. */
export interface ReplicatedControlLogOptions {
  readonly self: string;
  readonly dataCentre: string;
  /** The voters with which a new system begins, alike on all of them. */
  readonly initialVoters: readonly InitialVoter[];
  readonly folder: StorageFolder;
  readonly newDiskId: () => string;
  readonly network: PeerNetwork;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** The disk failed: the process must end, it can promise nothing. */
  readonly failed: (error: StorageError) => void;
  readonly timings?: Partial<ConsensusTimings>;
  /** How many voters there should be; as many as there were at first. */
  readonly wantedVoters?: number;
}

/** The log of decisions, held by a quorum of control VMs on their disks. */
export class ReplicatedControlLog extends ControlLog {
  override readonly state: Observable<ControlState>;
  override readonly leading = Observable.of(false);
  private readonly timings: ConsensusTimings;
  private readonly peers: ControlPeers;
  private readonly consensus: Consensus;
  private readonly bootstrap: Bootstrap;
  private readonly repair: VoterRepair;
  private appliedIndex: number;
  /** Who takes part by what is decided; a newer change may be under way. */
  private decided: ControlConfiguration;

  private constructor(
    private readonly options: ReplicatedControlLogOptions,
    private readonly log: DurableLog,
  ) {
    super();
    const {network, machines, initialVoters} = options;
    this.timings = {...CONSENSUS_TIMINGS, ...options.timings};
    const {timings} = this;
    this.state = Observable.of(log.snapshot.state);
    this.appliedIndex = log.snapshot.index;
    this.decided = log.snapshot.configuration;
    this.peers = ControlPeers.of(network, machines, timings.callMilliseconds);
    const shared = {...options, log, peers: this.peers, timings};
    this.consensus = Consensus.start({
      ...shared,
      committed: index => this.apply(index),
      snapshotTaken: () => this.takeSnapshot(),
    });
    this.consensus.leader.subscribe(() => this.publishLeading());
    this.bootstrap = Bootstrap.start(shared, () => this.consensus.stand());
    this.repair = VoterRepair.start({
      ...shared,
      wantedVoters: options.wantedVoters ?? initialVoters.length,
      leadership: () => this.currentLeadership(),
      committedIndex: () => this.appliedIndex,
    });
    network.handle(FORWARD, async command =>
      Right(packOutcome(await this.proposeHere(command))),
    );
  }

  /** Reads the disk and takes part. `Left` if the disk cannot be trusted. */
  static async start(
    options: ReplicatedControlLogOptions,
  ): Promise<Either<StorageError, ReplicatedControlLog>> {
    const {folder, newDiskId, timer, failed, logger} = options;
    const startedAt = timer.now();
    const opened = await DurableLog.open(folder, newDiskId, {
      timer,
      failed,
      slow: milliseconds =>
        logger.warn('the disk is slow', {
          milliseconds: Math.round(milliseconds),
        }),
    });
    return opened.map(log => {
      logger.info('opened the log', {
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
    const deadline = timer.now() + this.timings.proposeMilliseconds;
    for (;;) {
      const outcome = await this.proposeOnce(command);
      const error = outcome.isLeft() ? outcome.extract() : undefined;
      if (error === undefined || timer.now() >= deadline) return outcome;
      // A change id makes asking again safe, taken or not.
      const repeatable = 'origin' in command;
      const kind = (error as ControlError).kind;
      if (kind === 'unknown' && !repeatable) return outcome;
      await timer.sleep(RETRY_MILLISECONDS);
    }
  }

  override get leadingTerm(): number | undefined {
    return this.currentLeadership()?.start.term;
  }

  override async confirmLeading(): Promise<boolean> {
    const {timer} = this.options;
    const askedAt = timer.now();
    const leadership = this.currentLeadership();
    if (leadership === undefined) return false;
    const deadline = askedAt + CONFIRM_LIMIT_MILLISECONDS;
    while (leadership.quorumHeardAt < askedAt) {
      if (timer.now() >= deadline) return false;
      await timer.sleep(CONFIRM_POLL_MILLISECONDS);
      if (this.currentLeadership() !== leadership) return false;
    }
    return true;
  }

  /** How the log is doing; complete only where this VM leads. */
  override report(): ControlReport {
    const {log, options, consensus, decided: configuration} = this;
    const {leadership} = consensus;
    const now = options.timer.now();
    const members = configuration.members.map(({address: _, ...member}) => {
      const own = member.diskId === log.vote.diskId;
      const replicator = leadership?.replicatorOf(member.diskId);
      const matched = own ? log.last.index : (replicator?.matchIndex ?? 0);
      return {
        ...member,
        silentMilliseconds: own ? 0 : now - (replicator?.heardAt ?? now),
        entriesBehind: log.last.index - matched,
        diskReplaced: replicator?.hasOtherDisk ?? false,
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
      margin: marginOf(configuration, new Set(live.map(({diskId}) => diskId))),
      members,
    };
  }

  /** How long ago this VM was last known to be in touch with a quorum. */
  override get ageMilliseconds(): number {
    return this.options.timer.now() - this.consensus.leaderHeardAt;
  }

  /** Hands leadership over, if it is here, and takes part no more. */
  async stop(): Promise<void> {
    const heir = this.mostCurrentVoter();
    const {term} = this.log.vote;
    this.bootstrap.stop();
    this.repair.stop();
    if (heir !== undefined) {
      await this.peers.call(heir, TAKE_OVER, {to: heir.diskId, term});
      await this.untilFollowing();
    }
    this.consensus.stop();
    await this.log.close();
  }

  private async proposeOnce(command: ControlCommand): Promise<Outcome> {
    if (this.consensus.leadership !== undefined) {
      return this.proposeHere(command);
    }
    const leader = this.leader.current;
    const member = this.log.configuration.members.find(
      ({name}) => name === leader,
    );
    if (member === undefined) {
      return Left({kind: 'unavailable', reason: 'no leader is heard'});
    }
    return unpackOutcome(await this.peers.call(member, FORWARD, command));
  }

  private async proposeHere(command: ControlCommand): Promise<Outcome> {
    const {leadership} = this.consensus;
    if (leadership === undefined) {
      return Left({kind: 'unavailable', reason: 'not leading'});
    }
    const outcome = await withTimeout(
      this.options.timer,
      this.timings.proposeMilliseconds,
      leadership.propose({kind: 'command', command}),
    );
    if (outcome === TIMED_OUT) {
      return Left({kind: 'unknown', reason: 'no quorum in time'});
    }
    return outcome.map(answer => answer as CommandAnswer);
  }

  /** Carries out all that is decided. */
  private apply(committedIndex: number): void {
    const answers = new Map<number, CommandAnswer | undefined>();
    let state = this.state.current;
    while (this.appliedIndex < committedIndex) {
      const entry = this.log.entryAt(this.appliedIndex + 1);
      if (entry === undefined) break;
      const applied = applyEntry(state, entry);
      state = applied.state;
      if (entry.body.kind === 'configuration') {
        this.decided = entry.body.configuration;
      }
      answers.set(entry.index, applied.answer);
      this.appliedIndex = entry.index;
    }
    if (answers.size === 0) return;
    if (state !== this.state.current) this.state.set(state);
    for (const [index, answer] of answers) {
      this.consensus.leadership?.carriedOut(index, answer);
    }
    this.publishLeading();
    this.compactIfLong();
  }

  private takeSnapshot(): void {
    const {snapshot} = this.log;
    if (snapshot.index <= this.appliedIndex) return;
    this.appliedIndex = snapshot.index;
    this.decided = snapshot.configuration;
    this.state.set(snapshot.state);
  }

  private compactIfLong(): void {
    const {log, appliedIndex: index} = this;
    if (!log.isLong || index <= log.snapshot.index) return;
    const term = log.termAt(index);
    if (term !== undefined) log.compact({index, term}, this.state.current);
  }

  /** The leadership once its first entry, and so all before, is decided. */
  private currentLeadership(): Leadership | undefined {
    const {leadership} = this.consensus;
    if (leadership === undefined) return undefined;
    return this.appliedIndex >= leadership.start.index ? leadership : undefined;
  }

  private publishLeading(): void {
    const leading = this.currentLeadership() !== undefined;
    if (leading !== this.leading.current) this.leading.set(leading);
  }

  private mostCurrentVoter() {
    const {leadership} = this.consensus;
    if (leadership === undefined) return undefined;
    const matchOf = (diskId: string) =>
      leadership.replicatorOf(diskId)?.matchIndex ?? 0;
    return votersOf(this.log.configuration)
      .filter(({diskId}) => diskId !== this.log.vote.diskId)
      .sort((left, right) => matchOf(right.diskId) - matchOf(left.diskId))[0];
  }

  private async untilFollowing(): Promise<void> {
    const {timer} = this.options;
    const {electionMaximumMilliseconds} = this.timings;
    await withTimeout(
      timer,
      electionMaximumMilliseconds,
      this.leading.until(leading => !leading),
    );
  }
}
