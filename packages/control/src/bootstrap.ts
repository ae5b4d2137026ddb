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

const RETRY_INTERVAL_MILLISECONDS = 200;
const FIRST_TERM = 1;

/** One of the voters with which a new cluster starts. */
export interface InitialVoter {
  readonly name: string;
  readonly address: Address;
}

/** Options of {@link Bootstrap}. */
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
 * Creates the log of a new cluster, once. The first of the initial voters
 * writes the first configuration when all initial voters answer and have empty
 * disks. If only some disks are empty, they were wiped, and no new log is
 * created.
 */
export class Bootstrap {
  private stopped = false;

  private constructor(private readonly options: BootstrapOptions) {}

  /**
   * Starts to answer disk identification requests. On the first initial voter
   * it also tries to create the log until one exists, and then calls
   * `onCreated`.
   */
  static start(
    options: BootstrapOptions,
    onCreated: () => Promise<void>,
  ): Bootstrap {
    const bootstrap = new Bootstrap(options);
    options.network.handle(IDENTIFY, async ({voters}) => {
      // Initial voters with different lists could create two clusters.
      const namesDiffer =
        voters !== '' && voters !== bootstrap.initialVoterNames();
      if (namesDiffer) return Left('the lists of initial voters differ');
      return Right(bootstrap.ownDiskReport());
    });
    if (options.initialVoters[0]?.name === options.self) {
      void bootstrap.run(onCreated);
    }
    return bootstrap;
  }

  /** Stops trying to create the log. */
  stop(): void {
    this.stopped = true;
  }

  private async run(onCreated: () => Promise<void>): Promise<void> {
    const {log, timer} = this.options;
    while (!this.stopped && log.vote.cluster === undefined) {
      if (await this.tryCreateLog()) return onCreated();
      await timer.sleep(RETRY_INTERVAL_MILLISECONDS);
    }
  }

  private async tryCreateLog(): Promise<boolean> {
    const {initialVoters, log, logger, timer} = this.options;
    const members = await Promise.all(
      initialVoters.map(voter => this.identifyEmptyDisk(voter)),
    );
    const votersWithEmptyDisk = members.flatMap(member => member ?? []);
    const complete = votersWithEmptyDisk.length === initialVoters.length;
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
          configuration: {members: votersWithEmptyDisk},
          reason: 'the first voters',
          at: timer.wallClock(),
        },
      },
    ]);
    await log.flushed();
    logger.info('created the log of a new cluster', {cluster});
    return true;
  }

  /**
   * Returns the initial voter with the id of its disk, or `undefined` if it
   * does not answer or its disk already belongs to a cluster.
   */
  private async identifyEmptyDisk(
    voter: InitialVoter,
  ): Promise<ControlMember | undefined> {
    const report = await this.fetchDiskReport(voter);
    if (report === undefined || report.cluster !== null) return undefined;
    const {diskId, dataCentre} = report;
    return {...voter, diskId, dataCentre, role: 'voter'};
  }

  private async fetchDiskReport(
    voter: InitialVoter,
  ): Promise<DiskReport | undefined> {
    const {self, peers} = this.options;
    if (voter.name === self) return this.ownDiskReport();
    const answer = await peers.callAt(voter.address, IDENTIFY, {
      voters: this.initialVoterNames(),
    });
    return answer.toMaybe().extract();
  }

  private ownDiskReport(): DiskReport {
    const {log, dataCentre} = this.options;
    const {diskId, cluster} = log.vote;
    return {diskId, cluster: cluster ?? null, dataCentre};
  }

  private initialVoterNames(): string {
    return this.options.initialVoters.map(({name}) => name).join(' ');
  }
}
