import {Address} from '@apricotlock/topology';

/** One disk that takes part in the replicated log. */
export interface ControlMember {
  /** The VM that has the disk. */
  readonly name: string;
  /** A VM that comes back with an empty disk has another one. */
  readonly diskId: string;
  readonly dataCentre: string;
  readonly address: Address;
  /** A learner takes the log and counts for nothing until it has it all. */
  readonly role: 'voter' | 'learner';
}

/** Who takes part in the replicated log. */
export interface ControlConfiguration {
  readonly members: readonly ControlMember[];
}

/** Nobody takes part yet. */
export const EMPTY_CONFIGURATION: ControlConfiguration = {members: []};

/** Voters at most: more would cost each decision time and gain no safety. */
export const MAXIMUM_VOTERS = 9;

/** Those whose answers count. */
export function votersOf(
  configuration: ControlConfiguration,
): readonly ControlMember[] {
  return configuration.members.filter(({role}) => role === 'voter');
}

/** How many voters make a quorum. */
export function quorumOf(configuration: ControlConfiguration): number {
  return Math.floor(votersOf(configuration).length / 2) + 1;
}

/** Whether the voters among these disks make a quorum. */
export function isQuorum(
  configuration: ControlConfiguration,
  diskIds: ReadonlySet<string>,
): boolean {
  const agreeing = votersOf(configuration).filter(({diskId}) =>
    diskIds.has(diskId),
  );
  return agreeing.length >= quorumOf(configuration);
}

/** The participant with this disk. */
export function findControlMember(
  configuration: ControlConfiguration,
  diskId: string,
): ControlMember | undefined {
  return configuration.members.find(member => member.diskId === diskId);
}

/** The configuration without one disk. */
export function withoutDisk(
  {members}: ControlConfiguration,
  diskId: string,
): ControlConfiguration {
  return {members: members.filter(member => member.diskId !== diskId)};
}

/** The configuration with a participant added or changed. */
export function withControlMember(
  configuration: ControlConfiguration,
  member: ControlMember,
): ControlConfiguration {
  const {members} = withoutDisk(configuration, member.diskId);
  return {members: [...members, member]};
}
