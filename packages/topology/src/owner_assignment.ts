import {DatabaseGroup, Member, votingMembers} from './database_group.js';
import {ownerRanking} from './rendezvous.js';
import {VirtualMachine} from './virtual_machine.js';

/** The VMs of a data centre over which its members are spread at most. */
const MAXIMUM_CHOICES = 16;

type Assignment = ReadonlyMap<string, VirtualMachine>;

/** Assignments by groups and VMs; valid because these lists are immutable. */
const assignments = new WeakMap<
  readonly DatabaseGroup[],
  WeakMap<readonly VirtualMachine[], Assignment>
>();

/**
 * Returns the entry VM that owns a member, `undefined` if it is unknown or no VM
 * is serving. It is the first VM of the member's ranking with the fewest members,
 * so that two busy members do not share the processor of one VM while another
 * one of their data centre has none. Members are assigned in the order of their
 * names: a new or removed one changes the owners of others only where they
 * compete for the same VM.
 */
export function assignedOwner(
  groups: readonly DatabaseGroup[],
  machines: readonly VirtualMachine[],
  member: string,
): VirtualMachine | undefined {
  let byMachines = assignments.get(groups);
  if (byMachines === undefined) {
    byMachines = new WeakMap();
    assignments.set(groups, byMachines);
  }
  let assignment = byMachines.get(machines);
  if (assignment === undefined) {
    assignment = assignOwners(groups, machines);
    byMachines.set(machines, assignment);
  }
  return assignment.get(member);
}

function assignOwners(
  groups: readonly DatabaseGroup[],
  machines: readonly VirtualMachine[],
): Assignment {
  const members = groups.flatMap(votingMembers).sort(compareByName);
  const counts = new Map<VirtualMachine, number>();
  const assignment = new Map<string, VirtualMachine>();
  for (const {name, dataCentre} of members) {
    const ranking = ownerRanking(name, dataCentre, machines, MAXIMUM_CHOICES);
    const owner = leastUsed(ranking, counts);
    if (owner === undefined) continue;
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
    assignment.set(name, owner);
  }
  return assignment;
}

/** Returns the first of the VMs that own the fewest members. */
function leastUsed(
  ranking: readonly VirtualMachine[],
  counts: ReadonlyMap<VirtualMachine, number>,
): VirtualMachine | undefined {
  let best: VirtualMachine | undefined;
  let least = Infinity;
  for (const machine of ranking) {
    const count = counts.get(machine) ?? 0;
    if (count >= least) continue;
    best = machine;
    least = count;
  }
  return best;
}

function compareByName(left: Member, right: Member): number {
  if (left.name === right.name) return 0;
  return left.name < right.name ? -1 : 1;
}
