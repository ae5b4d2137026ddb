import {VirtualMachine} from '@apricotlock/topology';
import {
  ControlConfiguration,
  ControlMember,
  votersOf,
  withControlMember,
  withoutDisk,
} from './control_configuration.js';

/** What the leader knows of the participants and of other control VMs. */
export interface VoterSituation {
  readonly configuration: ControlConfiguration;
  /** The disk of the leader, which is never removed. */
  readonly leaderDiskId: string;
  /** The number of voters to maintain. */
  readonly targetVoterCount: number;
  /** The number of voters that one data centre may have. */
  readonly maximumPerDataCentre: number;
  /** The disks that do not answer any more or were replaced. */
  readonly lostDiskIds: ReadonlySet<string>;
  /** The disks that have synced all committed entries. */
  readonly caughtUpDiskIds: ReadonlySet<string>;
  /** All live VMs with a disk, including those that take part. */
  readonly controlMachines: readonly VirtualMachine[];
}

/** The next step towards the voters that are to be maintained. */
export type VoterStep =
  | {
      readonly kind: 'change';
      readonly configuration: ControlConfiguration;
      readonly reason: string;
    }
  /** A new learner is needed: the first of `candidates` that answers. */
  | {
      readonly kind: 'recruit';
      readonly candidates: readonly VirtualMachine[];
      readonly purpose: string;
    };

/**
 * Returns the next step, or `undefined` if there is nothing to do. It answers
 * these losses, one change of the configuration at a time:
 *
 * - voters are missing, because the cluster was created by fewer: a learner
 *   joins, catches up, and votes;
 * - a voter is lost: a learner joins and catches up, the lost voter is removed,
 *   and then the learner votes, so that a quorum never grows while a voter is
 *   lost;
 * - a data centre has more voters than it may have: as for a lost voter, with
 *   one of its voters in the place of the lost one.
 */
export function nextVoterStep(
  situation: VoterSituation,
): VoterStep | undefined {
  const {configuration, lostDiskIds, targetVoterCount} = situation;
  const voters = votersOf(configuration);
  const lost = voters.find(({diskId}) => lostDiskIds.has(diskId));
  const hasVacancy = voters.length < targetVoterCount;
  const learner = configuration.members.find(({role}) => role === 'learner');
  if (learner !== undefined) {
    return learnerStep(situation, learner, lost, hasVacancy);
  }
  if (lost !== undefined || hasVacancy) {
    const candidates = spareMachines(situation).sort(byRank(situation, lost));
    const purpose = lost === undefined ? 'a free place' : lost.name;
    return {kind: 'recruit', candidates, purpose};
  }
  return redistributionStep(situation);
}

function learnerStep(
  situation: VoterSituation,
  learner: ControlMember,
  lost: ControlMember | undefined,
  hasVacancy: boolean,
): VoterStep | undefined {
  const {configuration, lostDiskIds, caughtUpDiskIds} = situation;
  const {name, diskId} = learner;
  if (lostDiskIds.has(diskId)) {
    const reason = `${name} was lost while it learned`;
    return removal(configuration, learner, reason);
  }
  if (!caughtUpDiskIds.has(diskId)) return undefined;
  if (hasVacancy) {
    return {
      kind: 'change',
      configuration: withControlMember(configuration, {
        ...learner,
        role: 'voter',
      }),
      reason: `${name} has caught up and votes`,
    };
  }
  if (lost !== undefined) {
    const reason = `${lost.name} was lost; ${name} is ready`;
    return removal(configuration, lost, reason);
  }
  const surplus = surplusVoter(situation);
  if (surplus !== undefined && hasRoom(situation, learner.dataCentre)) {
    const reason = `${surplus.dataCentre} has too many voters; ${name} is ready`;
    return removal(configuration, surplus, reason);
  }
  const reason = `${name} is not needed: the lost voter is back`;
  return removal(configuration, learner, reason);
}

/** Moves a voter out of a data centre that has too many, if there is room. */
function redistributionStep(situation: VoterSituation): VoterStep | undefined {
  const surplus = surplusVoter(situation);
  if (surplus === undefined) return undefined;
  const candidates = spareMachines(situation)
    .filter(({dataCentre}) => hasRoom(situation, dataCentre))
    .sort(byRank(situation, undefined));
  if (candidates.length === 0) return undefined;
  const purpose = `a voter of ${surplus.dataCentre}, which has too many`;
  return {kind: 'recruit', candidates, purpose};
}

function removal(
  configuration: ControlConfiguration,
  {diskId}: ControlMember,
  reason: string,
): VoterStep {
  return {
    kind: 'change',
    configuration: withoutDisk(configuration, diskId),
    reason,
  };
}

/** Returns a voter, other than the leader, of a data centre with too many. */
function surplusVoter(situation: VoterSituation): ControlMember | undefined {
  const {configuration, leaderDiskId, maximumPerDataCentre} = situation;
  return votersOf(configuration).find(
    ({diskId, dataCentre}) =>
      diskId !== leaderDiskId &&
      countVoters(situation, dataCentre) > maximumPerDataCentre,
  );
}

function hasRoom(situation: VoterSituation, dataCentre: string): boolean {
  return countVoters(situation, dataCentre) < situation.maximumPerDataCentre;
}

/** Returns the number of voters of a data centre that are not lost. */
function countVoters(
  {configuration, lostDiskIds}: VoterSituation,
  dataCentre: string,
): number {
  return votersOf(configuration).filter(
    voter => voter.dataCentre === dataCentre && !lostDiskIds.has(voter.diskId),
  ).length;
}

/** Returns the live VMs with a disk that could become learners. */
function spareMachines({
  configuration,
  lostDiskIds,
  controlMachines,
}: VoterSituation): VirtualMachine[] {
  const participants = new Set(
    configuration.members
      .filter(({diskId}) => !lostDiskIds.has(diskId))
      .map(({name}) => name),
  );
  return controlMachines.filter(({name}) => !participants.has(name));
}

/**
 * Orders spare VMs: the lost voter's own VM first, then those of data centres
 * with fewer voters.
 */
function byRank(
  situation: VoterSituation,
  lost: ControlMember | undefined,
): (left: VirtualMachine, right: VirtualMachine) => number {
  const rankOf = ({name, dataCentre}: VirtualMachine) =>
    name === lost?.name ? -1 : countVoters(situation, dataCentre);
  return (left, right) => rankOf(left) - rankOf(right);
}
