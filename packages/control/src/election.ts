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

/** How long a VM that has just started waits for a leader at most. */
const FIRST_WAIT_MILLISECONDS = 250;

/** What an election needs of its control VM. */
export interface ElectionContext {
  readonly log: DurableLog;
  readonly logger: Logger;
  readonly peers: ControlPeers;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly timings: ConsensusTimings;
  readonly leaderHeardAt: () => number;
  readonly isLeading: () => boolean;
  /** The leader is heard no more. */
  readonly leaderLost: () => void;
  readonly higherTerm: (term: number) => void;
  readonly won: (term: number) => void;
}

/** The task that stands for election when no leader is heard. */
export class Election {
  private stopped = false;

  private constructor(private readonly context: ElectionContext) {}

  /** Starts the task. */
  static start(context: ElectionContext): Election {
    const election = new Election(context);
    void election.watch();
    return election;
  }

  /** Ends the task. */
  stop(): void {
    this.stopped = true;
  }

  /** Asks for votes; a trial first, which disturbs no leader. */
  async stand(handOver: boolean): Promise<void> {
    const {log, isLeading, won, logger} = this.context;
    if (!this.isVoter() || isLeading()) return;
    const term = log.vote.term + 1;
    if (!handOver) {
      const wouldWin = await this.collect(term, {trial: true, handOver});
      if (!wouldWin || log.vote.term + 1 !== term || this.stopped) {
        logger.debug('no quorum would elect this VM', {term});
        return;
      }
    }
    log.saveVote({term, vote: log.vote.diskId});
    await log.flushed();
    const elected = await this.collect(term, {trial: false, handOver});
    const {vote} = log;
    const standing = vote.term === term && vote.vote === vote.diskId;
    if (elected && standing && !this.stopped) won(term);
    else logger.info('not elected', {term, elected});
  }

  private async watch(): Promise<void> {
    const {timer, random, timings, leaderHeardAt} = this.context;
    // Nobody has been heard yet: a leader, if there is one, has time to speak.
    await timer.sleep(
      random.between(timings.heartbeatMilliseconds, FIRST_WAIT_MILLISECONDS),
    );
    while (!this.stopped) {
      const patience = random.between(
        timings.electionMinimumMilliseconds,
        timings.electionMaximumMilliseconds,
      );
      await timer.sleep(timings.heartbeatMilliseconds);
      for (;;) {
        const left = leaderHeardAt() + patience - timer.now();
        if (left <= 0 || this.stopped) break;
        await timer.sleep(left);
      }
      if (this.stopped) return;
      if (!this.context.isLeading()) this.context.leaderLost();
      await this.stand(false);
      await timer.sleep(random.between(0, patience / 2));
    }
  }

  private isVoter(): boolean {
    const {log} = this.context;
    const self = findControlMember(log.configuration, log.vote.diskId);
    return self?.role === 'voter';
  }

  /** Whether a quorum grants, this VM's own vote counted. */
  private collect(
    term: number,
    how: Pick<VoteRequest, 'trial' | 'handOver'>,
  ): Promise<boolean> {
    const {log, peers, timer, timings, higherTerm} = this.context;
    const {configuration, vote} = log;
    const granting = new Set([vote.diskId]);
    const others = votersOf(configuration).filter(
      ({diskId}) => diskId !== vote.diskId,
    );
    const request = {
      ...how,
      cluster: vote.cluster ?? '',
      from: vote.diskId,
      term,
      lastIndex: log.last.index,
      lastTerm: log.last.term,
    };
    return new Promise(resolve => {
      const possible = new Set([
        ...granting,
        ...others.map(disk => disk.diskId),
      ]);
      const decide = () => {
        if (isQuorum(configuration, granting)) resolve(true);
        else if (!isQuorum(configuration, possible)) resolve(false);
      };
      decide();
      // A silent VM must not hold the next attempt up.
      if (how.trial) {
        timer.once(timings.electionMaximumMilliseconds, () => resolve(false));
      }
      for (const member of others) {
        const to = member.diskId;
        void peers.call(member, VOTE, {...request, to}).then(answer => {
          const heard = answer.toMaybe().extract();
          if (heard?.granted) granting.add(to);
          else possible.delete(to);
          if (heard?.granted === false) higherTerm(heard.term);
          decide();
        });
      }
    });
  }
}
