import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {
  APPEND,
  AppendAnswer,
  AppendRequest,
  INSTALL_SNAPSHOT,
  SnapshotRequest,
  TAKE_OVER,
  VOTE,
  VoteAnswer,
  VoteRequest,
} from './consensus_messages.js';
import {SentAnswers} from './confirmed_answers.js';
import {ConsensusTimings} from './consensus_timings.js';
import {ControlPeers} from './control_peers.js';
import {DurableLog} from './durable_log.js';
import {Election} from './election.js';
import {Leadership} from './leadership.js';
import {LogPosition} from './log_entry.js';
import {RandomSource} from './random_source.js';
import {WRONG_DISK_REASON} from './replicator.js';

const WRONG_CLUSTER_REASON = 'this disk belongs to another cluster';

/** Leaves room for all later numbers in 32 bits, the compact encoding. */
const MAXIMUM_FIRST_ANSWER = 2 ** 30;

/** Options of {@link Consensus}. */
export interface ConsensusOptions {
  readonly self: string;
  readonly log: DurableLog;
  readonly network: PeerNetwork;
  readonly peers: ControlPeers;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly timings: ConsensusTimings;
  readonly logger: Logger;
  /** Called when all entries up to an index are committed. */
  readonly onCommitted: (index: number) => void;
  /** Called when another VM's snapshot has replaced the start of the log. */
  readonly onSnapshotInstalled: () => void;
}

interface Envelope {
  readonly cluster: string;
  readonly to: string;
}

/**
 * Consensus on the log, after Ongaro and Ousterhout, "In search of an
 * understandable consensus algorithm", 2014. It adds trial votes, a leader that
 * steps down without a quorum, and voters that are identified by disk rather
 * than by VM.
 */
export class Consensus {
  /** The name of the current leader; `undefined` while none is known. */
  readonly leader = Observable.of<string | undefined>(undefined);
  private activeLeadership: Leadership | undefined;
  /** When a leader's message last arrived, or this VM last granted a vote. */
  private electionTimerResetAt = -Infinity;
  /** The value of `newestKnownAt` while this VM does not lead. */
  private newestKnownAsFollowerAt = -Infinity;
  private readonly sentAnswers: SentAnswers;
  private readonly election: Election;
  private stopped = false;

  private constructor(private readonly options: ConsensusOptions) {
    const firstAnswer = options.random.nextBetween(0, MAXIMUM_FIRST_ANSWER);
    this.sentAnswers = SentAnswers.create(Math.floor(firstAnswer));
    this.election = Election.start({
      ...options,
      leaderContactAt: () => this.electionTimerResetAt,
      isLeading: () => this.activeLeadership !== undefined,
      onLeaderLost: () => this.setLeader(undefined),
      onHigherTerm: term => this.adoptTerm(term),
      onElected: term => this.startLeadership(term),
    });
  }

  /** Registers the handlers for messages from other control VMs. */
  static start(options: ConsensusOptions): Consensus {
    const consensus = new Consensus(options);
    const {network} = options;
    network.handle(VOTE, request => consensus.handleVote(request));
    network.handle(APPEND, request => consensus.handleAppend(request));
    network.handle(INSTALL_SNAPSHOT, request =>
      consensus.handleInstallSnapshot(request),
    );
    network.handle(TAKE_OVER, async ({to, term}) => {
      const {vote} = options.log;
      if (to !== vote.diskId || term !== vote.term) return Left('outdated');
      void consensus.election.campaign(true);
      return Right({standing: true});
    });
    return consensus;
  }

  /** The current term of leadership; `undefined` unless this VM leads. */
  get leadership(): Leadership | undefined {
    return this.activeLeadership;
  }

  /**
   * When the leader was last known to be alive. On the leader itself, when it
   * last had contact with a quorum.
   */
  get leaderContactAt(): number {
    return this.activeLeadership?.quorumContactAt ?? this.electionTimerResetAt;
  }

  /**
   * When the committed entries that are applied here are known to have been all
   * that were committed; `-Infinity` if unknown.
   */
  get newestKnownAt(): number {
    return (
      this.activeLeadership?.quorumContactAt ?? this.newestKnownAsFollowerAt
    );
  }

  /** Starts an election at once, with a trial vote first. */
  campaign(): Promise<void> {
    return this.election.campaign(false);
  }

  /** Ends the leadership of this VM, if it leads. */
  giveUpLeadership(): void {
    this.stepDown();
  }

  /** Leaves the consensus and steps down if this VM leads. */
  stop(): void {
    this.stopped = true;
    this.election.stop();
    this.stepDown();
  }

  private async handleVote(
    request: VoteRequest,
  ): Promise<Either<string, VoteAnswer>> {
    const refusal = this.rejectionReason(request);
    if (refusal !== undefined) return Left(refusal);
    const {log, timer, timings} = this.options;
    const silenceMilliseconds = timer.now() - this.leaderContactAt;
    const hasLeader = silenceMilliseconds < timings.electionMinimumMilliseconds;
    const {term} = log.vote;
    if (request.term < term || (hasLeader && !request.handOver)) {
      return Right({term, granted: false});
    }
    if (request.trial) {
      const canVote = log.writable.current && this.isUpToDate(request);
      const granted = request.term > term && canVote;
      return Right({term, granted});
    }
    this.adoptTerm(request.term);
    const {vote} = log.vote;
    const canVote = vote === undefined || vote === request.from;
    const granted = canVote && this.isUpToDate(request);
    if (granted) {
      this.electionTimerResetAt = timer.now();
      log.saveVote({vote: request.from, cluster: request.cluster});
    }
    await log.flushed();
    return Right({term: request.term, granted});
  }

  private async handleAppend(
    request: AppendRequest,
  ): Promise<Either<string, AppendAnswer>> {
    const refusal = this.rejectionReason(request);
    if (refusal !== undefined) return Left(refusal);
    const {log} = this.options;
    if (!this.acceptLeader(request)) return Right(this.failureAnswer(0));
    const {previousIndex, previousTerm, entries} = request;
    const localPreviousTerm = log.termAt(previousIndex);
    if (
      localPreviousTerm !== previousTerm &&
      previousIndex > log.snapshot.index
    ) {
      return Right(
        this.failureAnswer(Math.min(log.last.index, previousIndex - 1)),
      );
    }
    const firstNew = entries.findIndex(
      ({index, term}) =>
        index > log.snapshot.index && log.termAt(index) !== term,
    );
    if (firstNew >= 0) log.append(entries.slice(firstNew));
    const matchedIndex = previousIndex + entries.length;
    if (matchedIndex > log.flushedIndex || firstNew >= 0) await log.flushed();
    if (log.vote.term !== request.term) return Right(this.failureAnswer(0));
    this.options.onCommitted(Math.min(request.commitIndex, matchedIndex));
    if (request.commitIndex <= matchedIndex) this.recordNewest(request);
    const answer = this.sentAnswers.add(this.options.timer.now());
    const {term} = request;
    return Right({term, success: true, index: matchedIndex, answer});
  }

  /** Records until when the leader's log is known to have been the newest. */
  private recordNewest({confirmedAnswer}: AppendRequest): void {
    if (confirmedAnswer === undefined) return;
    const sentAt = this.sentAnswers.find(confirmedAnswer) ?? -Infinity;
    this.newestKnownAsFollowerAt = Math.max(
      this.newestKnownAsFollowerAt,
      sentAt,
    );
  }

  private async handleInstallSnapshot(
    request: SnapshotRequest,
  ): Promise<Either<string, AppendAnswer>> {
    const refusal = this.rejectionReason(request);
    if (refusal !== undefined) return Left(refusal);
    const {log} = this.options;
    if (!this.acceptLeader(request)) return Right(this.failureAnswer(0));
    const {snapshot, term} = request;
    if (snapshot.index > log.snapshot.index) {
      log.install(snapshot);
      this.options.onSnapshotInstalled();
    }
    await log.flushed();
    return Right({term, success: true, index: snapshot.index});
  }

  /** Accepts the sender as the leader, unless its term is over. */
  private acceptLeader(request: AppendRequest | SnapshotRequest): boolean {
    const {log, timer} = this.options;
    if (request.term < log.vote.term) return false;
    this.adoptTerm(request.term);
    if (log.vote.cluster === undefined) {
      log.saveVote({cluster: request.cluster});
    }
    this.electionTimerResetAt = timer.now();
    this.setLeader(request.leader);
    return true;
  }

  private rejectionReason({cluster, to}: Envelope): string | undefined {
    const {vote} = this.options.log;
    if (this.stopped) return 'stopping';
    if (to !== vote.diskId) return WRONG_DISK_REASON;
    const ownCluster = vote.cluster ?? cluster;
    return ownCluster === cluster ? undefined : WRONG_CLUSTER_REASON;
  }

  private failureAnswer(index: number): AppendAnswer {
    return {term: this.options.log.vote.term, success: false, index};
  }

  private isUpToDate(request: VoteRequest): boolean {
    const last: LogPosition = this.options.log.last;
    if (request.lastTerm !== last.term) return request.lastTerm > last.term;
    return request.lastIndex >= last.index;
  }

  private adoptTerm(term: number): void {
    const {log} = this.options;
    if (term <= log.vote.term) return;
    log.saveVote({term, vote: undefined});
    this.stepDown();
  }

  private startLeadership(term: number): void {
    const {log, peers, timer, timings, self, logger} = this.options;
    this.stepDown();
    logger.info('became the control leader', {term, index: log.last.index});
    this.activeLeadership = Leadership.begin(
      {
        log,
        peers,
        timer,
        self,
        term,
        heartbeatIntervalMilliseconds: timings.heartbeatIntervalMilliseconds,
        onHigherTerm: newerTerm => this.adoptTerm(newerTerm),
      },
      {
        onCommitted: index => this.options.onCommitted(index),
        onQuorumLost: () => {
          logger.warn(
            'lost contact with a quorum: stepping down as control leader',
            {term},
          );
          this.stepDown();
        },
      },
      timings.electionMaximumMilliseconds,
    );
    this.setLeader(self);
  }

  private stepDown(): void {
    const leadership = this.activeLeadership;
    this.activeLeadership = undefined;
    leadership?.end();
    this.setLeader(undefined);
  }

  private setLeader(name: string | undefined): void {
    if (this.leader.current !== name) this.leader.set(name);
  }
}
