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

/** What the repair needs of its control VM. */
export interface RepairContext {
  readonly log: DurableLog;
  readonly peers: ControlPeers;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly timer: TimerService;
  readonly timings: ConsensusTimings;
  readonly logger: Logger;
  /** How many voters there should be. */
  readonly wantedVoters: number;
  /** The leadership, once all before it is decided. */
  readonly leadership: () => Leadership | undefined;
  readonly committedIndex: () => number;
}

interface Step {
  readonly configuration: ControlConfiguration;
  readonly reason: string;
}

/**
 * The leader's task that replaces lost voters, by one change at a time: a
 * spare becomes a learner; when it has synced all that is decided, the lost
 * voter goes; then the learner votes. Each change is decided before the next.
 */
export class VoterRepair {
  private stopped = false;

  private constructor(private readonly context: RepairContext) {}

  /** Starts the task. */
  static start(context: RepairContext): VoterRepair {
    const repair = new VoterRepair(context);
    void repair.run();
    return repair;
  }

  /** Ends the task. */
  stop(): void {
    this.stopped = true;
  }

  private async run(): Promise<void> {
    const {timer, timings, leadership, logger} = this.context;
    while (!this.stopped) {
      await timer.sleep(timings.repairMilliseconds);
      const leading = leadership();
      if (leading === undefined) continue;
      const step = await this.nextStep(leading);
      if (step === undefined || leadership() !== leading) continue;
      logger.warn('changing the voters', {reason: step.reason});
      const at = timer.wallClock();
      await leading.propose({kind: 'configuration', ...step, at});
    }
  }

  private async nextStep(leading: Leadership): Promise<Step | undefined> {
    const {log, wantedVoters} = this.context;
    const {configuration} = log;
    const learner = configuration.members.find(({role}) => role === 'learner');
    const lost = votersOf(configuration).filter(voter =>
      this.isLost(leading, voter),
    );
    const missing = votersOf(configuration).length < wantedVoters;
    if (learner !== undefined) {
      return this.stepWith(leading, learner, lost[0], missing);
    }
    if (lost.length === 0 && !missing) return undefined;
    const spare = await this.findSpare(lost);
    if (spare === undefined) return undefined;
    return {
      configuration: withControlMember(configuration, spare),
      reason: `${spare.name} learns, for ${lost[0]?.name ?? 'a free place'}`,
    };
  }

  private stepWith(
    leading: Leadership,
    learner: ControlMember,
    lost: ControlMember | undefined,
    missing: boolean,
  ): Step | undefined {
    const {configuration} = this.context.log;
    const {name, diskId} = learner;
    if (this.isLost(leading, learner)) {
      return {
        configuration: withoutDisk(configuration, diskId),
        reason: `${name} was lost while it learned`,
      };
    }
    const matched = leading.replicatorOf(diskId)?.matchIndex ?? 0;
    if (matched < this.context.committedIndex()) return undefined;
    if (missing) {
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
    const silence = timer.now() - replicator.heardAt;
    return replicator.hasOtherDisk || silence > timings.replaceMilliseconds;
  }

  /** A live VM with a disk that takes no part yet. */
  private async findSpare(
    lost: readonly ControlMember[],
  ): Promise<ControlMember | undefined> {
    const {machines, log} = this.context;
    const {members} = log.configuration;
    const busy = new Set(
      members.filter(member => !lost.includes(member)).map(({name}) => name),
    );
    const candidates = machines.current
      .filter(
        ({name, controlVoter, state}) =>
          controlVoter && state === 'serving' && !busy.has(name),
      )
      .sort((left, right) => this.rank(left, lost) - this.rank(right, lost));
    for (const machine of candidates) {
      const spare = await this.identify(machine);
      if (spare !== undefined) return spare;
    }
    return undefined;
  }

  /** Low for a VM that would keep the voters spread over data centres. */
  private rank(
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
    const foreign = cluster !== null && cluster !== log.vote.cluster;
    const known = findControlMember(log.configuration, diskId) !== undefined;
    if (foreign || known) return undefined;
    return {name, diskId, dataCentre, address, role: 'learner'};
  }
}
