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
  withoutDisk,
} from './control_configuration.js';
import {ControlPeers} from './control_peers.js';
import {DurableLog} from './durable_log.js';
import {Leadership} from './leadership.js';

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
  /** The leadership, once all earlier entries are committed. */
  readonly leadership: () => Leadership | undefined;
  readonly committedIndex: () => number;
}

interface ConfigurationStep {
  readonly configuration: ControlConfiguration;
  readonly reason: string;
}

/**
 * Replaces lost voters while this VM leads, one configuration change at a time:
 * a spare VM becomes a learner; when it has synced all committed entries, the
 * lost voter is removed; then the learner becomes a voter. Each change is
 * committed before the next one is proposed.
 */
export class VoterRepair {
  private stopped = false;

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
      const step = await this.nextStep(leading);
      if (step === undefined || leadership() !== leading) continue;
      logger.warn('changing the control voters', {reason: step.reason});
      const at = timer.wallClock();
      await leading.propose({kind: 'configuration', ...step, at});
    }
  }

  private async nextStep(
    leading: Leadership,
  ): Promise<ConfigurationStep | undefined> {
    const {log, targetVoterCount} = this.context;
    const {configuration} = log;
    const learner = configuration.members.find(({role}) => role === 'learner');
    const lost = votersOf(configuration).filter(voter =>
      this.isLost(leading, voter),
    );
    const hasVacancy = votersOf(configuration).length < targetVoterCount;
    if (learner !== undefined) {
      return this.learnerStep(leading, learner, lost[0], hasVacancy);
    }
    if (lost.length === 0 && !hasVacancy) return undefined;
    const spare = await this.findSpare(lost);
    if (spare === undefined) return undefined;
    return {
      configuration: withControlMember(configuration, spare),
      reason: `${spare.name} learns, for ${lost[0]?.name ?? 'a free place'}`,
    };
  }

  private learnerStep(
    leading: Leadership,
    learner: ControlMember,
    lost: ControlMember | undefined,
    hasVacancy: boolean,
  ): ConfigurationStep | undefined {
    const {configuration} = this.context.log;
    const {name, diskId} = learner;
    if (this.isLost(leading, learner)) {
      return {
        configuration: withoutDisk(configuration, diskId),
        reason: `${name} was lost while it learned`,
      };
    }
    const matchIndex = leading.replicatorOf(diskId)?.matchIndex ?? 0;
    if (matchIndex < this.context.committedIndex()) return undefined;
    if (hasVacancy) {
      const voter: ControlMember = {...learner, role: 'voter'};
      return {
        configuration: withControlMember(configuration, voter),
        reason: `${name} has caught up and votes`,
      };
    }
    if (lost !== undefined) {
      return {
        configuration: withoutDisk(configuration, lost.diskId),
        reason: `${lost.name} was lost; ${name} is ready`,
      };
    }
    return {
      configuration: withoutDisk(configuration, diskId),
      reason: `${name} is not needed: the lost voter is back`,
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

  /** Returns a live VM with a disk that does not take part yet. */
  private async findSpare(
    lost: readonly ControlMember[],
  ): Promise<ControlMember | undefined> {
    const {machines, log} = this.context;
    const {members} = log.configuration;
    const participants = new Set(
      members.filter(member => !lost.includes(member)).map(({name}) => name),
    );
    const candidates = machines.current
      .filter(
        ({name, controlVoter, state}) =>
          controlVoter && state === 'serving' && !participants.has(name),
      )
      .sort(
        (left, right) =>
          this.spareRank(left, lost) - this.spareRank(right, lost),
      );
    for (const machine of candidates) {
      const spare = await this.identify(machine);
      if (spare !== undefined) return spare;
    }
    return undefined;
  }

  /**
   * Returns the rank of a spare VM, lower being better: prefers the lost
   * voter's own VM, then data centres with fewer voters.
   */
  private spareRank(
    {name, dataCentre}: VirtualMachine,
    lost: readonly ControlMember[],
  ): number {
    const [first] = lost;
    if (name === first?.name) return -1;
    return votersOf(this.context.log.configuration).filter(
      voter => !lost.includes(voter) && voter.dataCentre === dataCentre,
    ).length;
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
