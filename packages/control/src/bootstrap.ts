import {randomUUID} from 'node:crypto';
import {Left, Right} from 'purify-ts';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {DiskReport, IDENTIFY} from './consensus_messages.js';
import {ControlMember} from './control_configuration.js';
import {ControlPeers} from './control_peers.js';
import {DurableLog} from './durable_log.js';

const RETRY_MILLISECONDS = 200;
const FIRST_TERM = 1;

/** One of the voters with which a new system begins. */
export interface InitialVoter {
  readonly name: string;
  readonly address: Address;
}

/** What beginning a log needs. */
export interface BootstrapOptions {
  readonly self: string;
  readonly dataCentre: string;
  readonly initialVoters: readonly InitialVoter[];
  readonly log: DurableLog;
  readonly network: PeerNetwork;
  readonly peers: ControlPeers;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/**
 * Begins the log of a new system, once: the first of the initial voters writes
 * the first configuration when every one of them answers and has an empty
 * disk. A wiped disk among others that are not is never a new beginning.
 */
export class Bootstrap {
  private stopped = false;

  private constructor(private readonly options: BootstrapOptions) {}

  /** Answers who asks for the disk, and begins the log where that is due. */
  static start(
    options: BootstrapOptions,
    begun: () => Promise<void>,
  ): Bootstrap {
    const bootstrap = new Bootstrap(options);
    options.network.handle(IDENTIFY, async ({voters}) => {
      // Two first voters with different lists could begin two systems.
      const differ = voters !== '' && voters !== bootstrap.voterNames();
      if (differ) return Left('the initial voters differ');
      return Right(bootstrap.ownDisk());
    });
    if (options.initialVoters[0]?.name === options.self) {
      void bootstrap.run(begun);
    }
    return bootstrap;
  }

  /** Gives up. */
  stop(): void {
    this.stopped = true;
  }

  private async run(begun: () => Promise<void>): Promise<void> {
    const {log, timer} = this.options;
    while (!this.stopped && log.vote.cluster === undefined) {
      if (await this.attempt()) return begun();
      await timer.sleep(RETRY_MILLISECONDS);
    }
  }

  private async attempt(): Promise<boolean> {
    const {initialVoters, log, logger, timer} = this.options;
    const members = await Promise.all(
      initialVoters.map(voter => this.identify(voter)),
    );
    const blank = members.flatMap(member => member ?? []);
    const complete = blank.length === initialVoters.length;
    if (!complete || log.vote.cluster !== undefined || this.stopped) {
      return false;
    }
    const cluster = randomUUID();
    log.saveVote({cluster, term: FIRST_TERM, vote: log.vote.diskId});
    log.append([
      {
        index: 1,
        term: FIRST_TERM,
        body: {
          kind: 'configuration',
          configuration: {members: blank},
          reason: 'the first voters',
          at: timer.wallClock(),
        },
      },
    ]);
    await log.flushed();
    logger.info('a new log begins', {cluster});
    return true;
  }

  /** The voter with its disk, if the disk belongs to no system yet. */
  private async identify(
    voter: InitialVoter,
  ): Promise<ControlMember | undefined> {
    const report = await this.diskOf(voter);
    if (report === undefined || report.cluster !== null) return undefined;
    const {diskId, dataCentre} = report;
    return {...voter, diskId, dataCentre, role: 'voter'};
  }

  private async diskOf(voter: InitialVoter): Promise<DiskReport | undefined> {
    const {self, peers} = this.options;
    if (voter.name === self) return this.ownDisk();
    const answer = await peers.callAt(voter.address, IDENTIFY, {
      voters: this.voterNames(),
    });
    return answer.toMaybe().extract();
  }

  private ownDisk(): DiskReport {
    const {log, dataCentre} = this.options;
    const {diskId, cluster} = log.vote;
    return {diskId, cluster: cluster ?? null, dataCentre};
  }

  private voterNames(): string {
    return this.options.initialVoters.map(({name}) => name).join(' ');
  }
}
