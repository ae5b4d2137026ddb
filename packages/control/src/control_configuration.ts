import {Address} from '@apricotlock/topology';

/** A disk that takes part in the replicated log. */
export interface ControlMember {
  /** The VM with this disk. */
  readonly name: string;
  /**
   * Identifies the disk: a VM whose disk was replaced by an empty one has a new
   * id.
   */
  readonly diskId: string;
  readonly dataCentre: string;
  readonly address: Address;
  /**
   * A learner receives the log but does not count towards a quorum until it has
   * caught up.
   */
  readonly role: 'voter' | 'learner';
}

/** The participants in the replicated log. */
export interface ControlConfiguration {
  readonly members: readonly ControlMember[];
}

/** The configuration before the first participant. */
export const EMPTY_CONFIGURATION: ControlConfiguration = {members: []};

/**
 * Maximum number of voters: more would slow down every commit without a gain in
 * safety.
 */
export const MAXIMUM_VOTERS = 9;

/** Returns the members that count towards a quorum. */
export function votersOf(
  configuration: ControlConfiguration,
): readonly ControlMember[] {
  return configuration.members.filter(({role}) => role === 'voter');
}

/** Returns the number of voters that make a quorum. */
export function quorumOf(configuration: ControlConfiguration): number {
  return Math.floor(votersOf(configuration).length / 2) + 1;
}

/** Returns whether the voters among these disks make a quorum. */
export function isQuorum(
  configuration: ControlConfiguration,
  diskIds: ReadonlySet<string>,
): boolean {
  const agreeing = votersOf(configuration).filter(({diskId}) =>
    diskIds.has(diskId),
  );
  return agreeing.length >= quorumOf(configuration);
}

/** Returns the member with this disk, if there is one. */
export function findControlMember(
  configuration: ControlConfiguration,
  diskId: string,
): ControlMember | undefined {
  return configuration.members.find(member => member.diskId === diskId);
}

/** Returns the configuration without one disk. */
export function withoutDisk(
  {members}: ControlConfiguration,
  diskId: string,
): ControlConfiguration {
  return {members: members.filter(member => member.diskId !== diskId)};
}

/** Returns the configuration with a member added or replaced. */
export function withControlMember(
  configuration: ControlConfiguration,
  member: ControlMember,
): ControlConfiguration {
  const {members} = withoutDisk(configuration, member.diskId);
  return {members: [...members, member]};
}
