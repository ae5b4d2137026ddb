import {Logger} from '@apricotlock/logging';
import {TimerService} from '@apricotlock/timer';
import {VOTE, VoteRequest} from './consensus_messages.js';
import {ConsensusTimings} from './consensus_timings.js';
import {
  findControlMember,
  isQuorum,
  votersOf,
} from './control_configuration.js';
import {ControlPeers} from './control_peers.js';
import {DurableLog} from './durable_log.js';
import {RandomSource} from './random_source.js';

/** Longest time that a newly started VM waits before it checks for a leader. */
const FIRST_WAIT_MAXIMUM_MILLISECONDS = 250;

/** Time for messages that have arrived to be read. */
const INPUT_DELAY_MILLISECONDS = 5;

/** Dependencies of {@link Election}. */
export interface ElectionContext {
  readonly log: DurableLog;
  readonly logger: Logger;
  readonly peers: ControlPeers;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly timings: ConsensusTimings;
  readonly leaderContactAt: () => number;
  readonly isLeading: () => boolean;
  /** Called when the leader has been silent for the election timeout. */
  readonly onLeaderLost: () => void;
  readonly onHigherTerm: (term: number) => void;
  readonly onElected: (term: number) => void;
}

/**
 * Starts an election when the leader has been silent for the election timeout.
 */
export class Election {
  private stopped = false;

  private constructor(private readonly context: ElectionContext) {}

  /** Starts to monitor the leader. */
  static start(context: ElectionContext): Election {
    const election = new Election(context);
    void election.monitorLeader();
    return election;
  }

  /** Stops monitoring the leader. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Requests votes from the other voters. Unless the old leader handed over, a
   * trial vote comes first, so that a VM that cannot win an election does not
   * disturb the leader.
   */
  async campaign(handOver: boolean): Promise<void> {
    const {log, isLeading, onElected, logger} = this.context;
    // A vote for itself that is not synced would not count.
    const canVote = this.isVoter() && log.writable.current;
    if (!canVote || isLeading()) return;
    const term = log.vote.term + 1;
    if (!handOver) {
      const wouldWin = await this.collectVotes(term, {trial: true, handOver});
      if (!wouldWin || log.vote.term + 1 !== term || this.stopped) {
        logger.debug('election not started: no quorum granted a trial vote', {
          term,
        });
        return;
      }
    }
    log.saveVote({term, vote: log.vote.diskId});
    await log.flushed();
    const elected = await this.collectVotes(term, {trial: false, handOver});
    const {vote} = log;
    const isStillCandidate = vote.term === term && vote.vote === vote.diskId;
    if (elected && isStillCandidate && !this.stopped) onElected(term);
    else logger.info('lost the election for control leader', {term, elected});
  }

  private async monitorLeader(): Promise<void> {
    const {timer, random, timings, leaderContactAt} = this.context;
    // No leader is known after a start, so an existing leader gets time to send
    // a heartbeat.
    await timer.sleep(
      random.nextBetween(
        timings.heartbeatIntervalMilliseconds,
        FIRST_WAIT_MAXIMUM_MILLISECONDS,
      ),
    );
    while (!this.stopped) {
      const electionTimeoutMilliseconds = random.nextBetween(
        timings.electionMinimumMilliseconds,
        timings.electionMaximumMilliseconds,
      );
      await timer.sleep(timings.heartbeatIntervalMilliseconds);
      for (;;) {
        const remainingMilliseconds =
          leaderContactAt() + electionTimeoutMilliseconds - timer.now();
        if (remainingMilliseconds <= 0 || this.stopped) break;
        await timer.sleep(remainingMilliseconds);
        // After a pause of this process, messages of the leader may have
        // arrived that are read only after the timers.
        await timer.sleep(INPUT_DELAY_MILLISECONDS);
      }
      if (this.stopped) return;
      if (!this.context.isLeading()) this.context.onLeaderLost();
      await this.campaign(false);
      await timer.sleep(random.nextBetween(0, electionTimeoutMilliseconds / 2));
    }
  }

  private isVoter(): boolean {
    const {log} = this.context;
    const self = findControlMember(log.configuration, log.vote.diskId);
    return self?.role === 'voter';
  }

  /** Returns whether a quorum grants its votes, including this VM's own. */
  private collectVotes(
    term: number,
    flags: Pick<VoteRequest, 'trial' | 'handOver'>,
  ): Promise<boolean> {
    const {log, peers, timer, timings, onHigherTerm} = this.context;
    const {configuration, vote} = log;
    const grantedVotes = new Set([vote.diskId]);
    const others = votersOf(configuration).filter(
      ({diskId}) => diskId !== vote.diskId,
    );
    const request = {
      ...flags,
      cluster: vote.cluster ?? '',
      from: vote.diskId,
      term,
      lastIndex: log.last.index,
      lastTerm: log.last.term,
    };
    return new Promise(resolve => {
      const possibleVotes = new Set([
        ...grantedVotes,
        ...others.map(disk => disk.diskId),
      ]);
      const decide = () => {
        if (isQuorum(configuration, grantedVotes)) resolve(true);
        else if (!isQuorum(configuration, possibleVotes)) resolve(false);
      };
      decide();
      // A VM that does not answer must not delay the next election.
      if (flags.trial) {
        timer.once(timings.electionMaximumMilliseconds, () => resolve(false));
      }
      for (const member of others) {
        const to = member.diskId;
        void peers.call(member, VOTE, {...request, to}).then(answer => {
          const received = answer.toMaybe().extract();
          if (received?.granted) grantedVotes.add(to);
          else possibleVotes.delete(to);
          if (received?.granted === false) onHigherTerm(received.term);
          decide();
        });
      }
    });
  }
}
