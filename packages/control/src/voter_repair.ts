import {Logger} from '@apricotlock/logging';
import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {IDENTIFY} from './consensus_messages.js';
import {ConsensusTimings} from './consensus_timings.js';
import {
  ControlConfiguration,
  ControlMember,
  findControlMember,
  votersOf,
  withControlMember,
} from './control_configuration.js';
import {ControlPeers} from './control_peers.js';
import {DurableLog} from './durable_log.js';
import {Leadership} from './leadership.js';
import {nextVoterStep, VoterSituation, VoterStep} from './voter_plan.js';

/** Dependencies of {@link VoterRepair}. */
export interface RepairContext {
  readonly log: DurableLog;
  readonly peers: ControlPeers;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly timer: TimerService;
  readonly timings: ConsensusTimings;
  readonly logger: Logger;
  /** The number of voters to maintain. */
  readonly targetVoterCount: number;
  /** The number of voters that one data centre may have. */
  readonly maximumPerDataCentre: number;
  /** The leadership, once all earlier entries are committed. */
  readonly leadership: () => Leadership | undefined;
  readonly committedIndex: () => number;
}

interface ConfigurationChange {
  readonly configuration: ControlConfiguration;
  readonly reason: string;
}

/**
 * Maintains the voters while this VM leads, one configuration change at a time
 * as {@link nextVoterStep} decides. Each change is committed before the next one
 * is proposed.
 */
export class VoterRepair {
  private stopped = false;
  /** Whether a learner is needed and no VM with a disk is available. */
  private lacksMachines = false;

  private constructor(private readonly context: RepairContext) {}

  /** Starts the periodic checks. */
  static start(context: RepairContext): VoterRepair {
    const repair = new VoterRepair(context);
    void repair.run();
    return repair;
  }

  /** Stops the periodic checks. */
  stop(): void {
    this.stopped = true;
  }

  private async run(): Promise<void> {
    const {timer, timings, leadership, logger} = this.context;
    while (!this.stopped) {
      await timer.sleep(timings.repairIntervalMilliseconds);
      const leading = leadership();
      if (leading === undefined) continue;
      const step = nextVoterStep(this.situation(leading));
      const change = await this.changeOf(step);
      if (change === undefined || leadership() !== leading) continue;
      logger.warn('changing the control voters', {reason: change.reason});
      const at = timer.wallClock();
      await leading.propose({kind: 'configuration', ...change, at});
    }
  }

  private situation(leading: Leadership): VoterSituation {
    const {log, machines, targetVoterCount, maximumPerDataCentre} =
      this.context;
    const {configuration, vote} = log;
    const diskIdsWhere = (test: (member: ControlMember) => boolean) =>
      new Set(configuration.members.filter(test).map(({diskId}) => diskId));
    return {
      configuration,
      leaderDiskId: vote.diskId,
      targetVoterCount,
      maximumPerDataCentre,
      lostDiskIds: diskIdsWhere(member => this.isLost(leading, member)),
      caughtUpDiskIds: diskIdsWhere(({diskId}) => {
        const matchIndex = leading.replicatorOf(diskId)?.matchIndex ?? 0;
        return matchIndex >= this.context.committedIndex();
      }),
      controlMachines: machines.current.filter(
        ({controlVoter, state}) => controlVoter && state === 'serving',
      ),
    };
  }

  private isLost(leading: Leadership, {diskId}: ControlMember): boolean {
    const {log, timer, timings} = this.context;
    if (diskId === log.vote.diskId) return false;
    const replicator = leading.replicatorOf(diskId);
    if (replicator === undefined) return false;
    const silenceMilliseconds = timer.now() - replicator.lastContactAt;
    return (
      replicator.hasDifferentDisk ||
      silenceMilliseconds > timings.replaceMilliseconds
    );
  }

  private async changeOf(
    step: VoterStep | undefined,
  ): Promise<ConfigurationChange | undefined> {
    if (step?.kind !== 'recruit') {
      this.reportShortage(false);
      if (step === undefined) return undefined;
      const {configuration, reason} = step;
      return {configuration, reason};
    }
    const learner = await this.identifyFirst(step.candidates);
    this.reportShortage(learner === undefined);
    if (learner === undefined) return undefined;
    return {
      configuration: withControlMember(this.context.log.configuration, learner),
      reason: `${learner.name} learns, for ${step.purpose}`,
    };
  }

  /** Logs when VMs with a disk begin to lack, and when they no longer do. */
  private reportShortage(lacksMachines: boolean): void {
    if (lacksMachines === this.lacksMachines) return;
    this.lacksMachines = lacksMachines;
    const {logger, log, targetVoterCount} = this.context;
    const fields = {
      voters: votersOf(log.configuration).length,
      required: targetVoterCount,
    };
    if (lacksMachines) {
      logger.warn('too few control VMs for the fault tolerance', fields);
    } else {
      logger.info('enough control VMs for the fault tolerance', fields);
    }
  }

  private async identifyFirst(
    candidates: readonly VirtualMachine[],
  ): Promise<ControlMember | undefined> {
    for (const machine of candidates) {
      const spare = await this.identify(machine);
      if (spare !== undefined) return spare;
    }
    return undefined;
  }

  private async identify({
    name,
    dataCentre,
    peerAddress: address,
  }: VirtualMachine): Promise<ControlMember | undefined> {
    const {peers, log} = this.context;
    const answer = await peers.callAt(address, IDENTIFY, {voters: ''});
    const report = answer.toMaybe().extract();
    if (report === undefined) return undefined;
    const {diskId, cluster} = report;
    const isInOtherCluster = cluster !== null && cluster !== log.vote.cluster;
    const isParticipant =
      findControlMember(log.configuration, diskId) !== undefined;
    if (isInOtherCluster || isParticipant) return undefined;
    return {name, diskId, dataCentre, address, role: 'learner'};
  }
}
