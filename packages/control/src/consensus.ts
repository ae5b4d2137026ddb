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
import {ConsensusTimings} from './consensus_timings.js';
import {ControlPeers} from './control_peers.js';
import {DurableLog} from './durable_log.js';
import {Election} from './election.js';
import {Leadership} from './leadership.js';
import {LogPosition} from './log_entry.js';
import {RandomSource} from './random_source.js';
import {OTHER_DISK} from './replicator.js';

const OTHER_CLUSTER = 'this disk belongs to another system';

/** What agreeing needs. */
export interface ConsensusOptions {
  readonly self: string;
  readonly log: DurableLog;
  readonly network: PeerNetwork;
  readonly peers: ControlPeers;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly timings: ConsensusTimings;
  readonly logger: Logger;
  /** Everything up to a place is decided. */
  readonly committed: (index: number) => void;
  /** The log now begins with another VM's snapshot. */
  readonly snapshotTaken: () => void;
}

interface Envelope {
  readonly cluster: string;
  readonly to: string;
}

/**
 * Agreement on the log, after Ongaro and Ousterhout, "In search of an
 * understandable consensus algorithm", 2014, with trial votes, a leader that
 * steps down without a quorum, and disks rather than VMs as voters.
 */
export class Consensus {
  /** The name of the leader that is heard now. */
  readonly leader = Observable.of<string | undefined>(undefined);
  private leadershipHeld: Leadership | undefined;
  private heardAt = -Infinity;
  private readonly election: Election;
  private stopped = false;

  private constructor(private readonly options: ConsensusOptions) {
    this.election = Election.start({
      ...options,
      leaderHeardAt: () => this.heardAt,
      isLeading: () => this.leadershipHeld !== undefined,
      leaderLost: () => this.setLeader(undefined),
      higherTerm: term => this.adoptTerm(term),
      won: term => this.lead(term),
    });
  }

  /** Starts to answer the other control VMs. */
  static start(options: ConsensusOptions): Consensus {
    const consensus = new Consensus(options);
    const {network} = options;
    network.handle(VOTE, request => consensus.vote(request));
    network.handle(APPEND, request => consensus.append(request));
    network.handle(INSTALL_SNAPSHOT, request => consensus.install(request));
    network.handle(TAKE_OVER, async ({to, term}) => {
      const {vote} = options.log;
      if (to !== vote.diskId || term !== vote.term) return Left('too late');
      void consensus.election.stand(true);
      return Right({standing: true});
    });
    return consensus;
  }

  /** The term in which this VM leads, if it does. */
  get leadership(): Leadership | undefined {
    return this.leadershipHeld;
  }

  /** When the leader was last heard. */
  get leaderHeardAt(): number {
    return this.leadershipHeld?.quorumHeardAt ?? this.heardAt;
  }

  /** Stands for election at once. */
  stand(): Promise<void> {
    return this.election.stand(false);
  }

  /** Takes part no more. */
  stop(): void {
    this.stopped = true;
    this.election.stop();
    this.stepDown();
  }

  private async vote(
    request: VoteRequest,
  ): Promise<Either<string, VoteAnswer>> {
    const refusal = this.refusalOf(request);
    if (refusal !== undefined) return Left(refusal);
    const {log, timer, timings} = this.options;
    const silence = timer.now() - this.leaderHeardAt;
    const hasLeader = silence < timings.electionMinimumMilliseconds;
    const {term} = log.vote;
    if (request.term < term || (hasLeader && !request.handOver)) {
      return Right({term, granted: false});
    }
    if (request.trial) {
      const granted = request.term > term && this.isUpToDate(request);
      return Right({term, granted});
    }
    this.adoptTerm(request.term);
    const {vote} = log.vote;
    const free = vote === undefined || vote === request.from;
    const granted = free && this.isUpToDate(request);
    if (granted) {
      this.heardAt = timer.now();
      log.saveVote({vote: request.from, cluster: request.cluster});
    }
    await log.flushed();
    return Right({term: request.term, granted});
  }

  private async append(
    request: AppendRequest,
  ): Promise<Either<string, AppendAnswer>> {
    const refusal = this.refusalOf(request);
    if (refusal !== undefined) return Left(refusal);
    const {log} = this.options;
    if (!this.follow(request)) return Right(this.disagreement(0));
    const {previousIndex, previousTerm, entries} = request;
    const known = log.termAt(previousIndex);
    if (known !== previousTerm && previousIndex > log.snapshot.index) {
      return Right(
        this.disagreement(Math.min(log.last.index, previousIndex - 1)),
      );
    }
    const fresh = entries.findIndex(
      ({index, term}) =>
        index > log.snapshot.index && log.termAt(index) !== term,
    );
    if (fresh >= 0) log.append(entries.slice(fresh));
    const agreed = previousIndex + entries.length;
    if (agreed > log.flushedIndex || fresh >= 0) await log.flushed();
    if (log.vote.term !== request.term) return Right(this.disagreement(0));
    this.options.committed(Math.min(request.commitIndex, agreed));
    return Right({term: request.term, success: true, index: agreed});
  }

  private async install(
    request: SnapshotRequest,
  ): Promise<Either<string, AppendAnswer>> {
    const refusal = this.refusalOf(request);
    if (refusal !== undefined) return Left(refusal);
    const {log} = this.options;
    if (!this.follow(request)) return Right(this.disagreement(0));
    const {snapshot, term} = request;
    if (snapshot.index > log.snapshot.index) {
      log.install(snapshot);
      this.options.snapshotTaken();
    }
    await log.flushed();
    return Right({term, success: true, index: snapshot.index});
  }

  /** Follows the leader of a message, unless its term is over. */
  private follow(request: AppendRequest | SnapshotRequest): boolean {
    const {log, timer} = this.options;
    if (request.term < log.vote.term) return false;
    this.adoptTerm(request.term);
    if (log.vote.cluster === undefined) {
      log.saveVote({cluster: request.cluster});
    }
    this.heardAt = timer.now();
    this.setLeader(request.leader);
    return true;
  }

  private refusalOf({cluster, to}: Envelope): string | undefined {
    const {vote} = this.options.log;
    if (this.stopped) return 'stopping';
    if (to !== vote.diskId) return OTHER_DISK;
    const own = vote.cluster ?? cluster;
    return own === cluster ? undefined : OTHER_CLUSTER;
  }

  private disagreement(index: number): AppendAnswer {
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

  private lead(term: number): void {
    const {log, peers, timer, timings, self, logger} = this.options;
    this.stepDown();
    logger.info('leading', {term, index: log.last.index});
    this.leadershipHeld = Leadership.begin(
      {
        log,
        peers,
        timer,
        self,
        term,
        heartbeatMilliseconds: timings.heartbeatMilliseconds,
        higherTerm: higher => this.adoptTerm(higher),
      },
      {
        committed: index => this.options.committed(index),
        quorumLost: () => {
          logger.warn('no quorum follows: stepping down', {term});
          this.stepDown();
        },
      },
      timings.electionMaximumMilliseconds,
    );
    this.setLeader(self);
  }

  private stepDown(): void {
    const leadership = this.leadershipHeld;
    this.leadershipHeld = undefined;
    leadership?.end();
    this.setLeader(undefined);
  }

  private setLeader(name: string | undefined): void {
    if (this.leader.current !== name) this.leader.set(name);
  }
}
