import {VirtualMachine} from './virtual_machine.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/**
 * The entry VM that owns a member: the one with the highest hash among those
 * of the member's data centre, or among all if that has none. Losing a VM
 * moves only what it owned. Source: Thaler and Ravishankar, "Using name-based
 * mappings to increase hit rates", 1998.
 */
export function ownerOf(
  memberName: string,
  dataCentre: string,
  machines: readonly VirtualMachine[],
): VirtualMachine | undefined {
  const [owner] = ownerRanking(memberName, dataCentre, machines, 1);
  return owner;
}

/** The owner, and those that would own the member one after the other if the
 * VMs before them were lost. */
export function ownerRanking(
  memberName: string,
  dataCentre: string,
  machines: readonly VirtualMachine[],
  count: number,
): readonly VirtualMachine[] {
  const serving = machines.filter(machine => machine.state === 'serving');
  const near = serving.filter(machine => machine.dataCentre === dataCentre);
  const candidates = near.length > 0 ? near : serving;
  const memberHash = hashOf(memberName);
  return highest(candidates, memberHash, count);
}

interface Weighed {
  readonly machine: VirtualMachine;
  readonly weight: number;
}

function highest(
  machines: readonly VirtualMachine[],
  memberHash: number,
  count: number,
): readonly VirtualMachine[] {
  let best: readonly Weighed[] = [];
  for (const machine of machines) {
    const weight = mix(memberHash ^ hashOf(machine.name));
    const last = best[best.length - 1];
    const weighed = {machine, weight};
    if (best.length === count && last !== undefined) {
      if (compare(weighed, last) > 0) continue;
    }
    best = [...best, weighed].sort(compare).slice(0, count);
  }
  return best.map(({machine}) => machine);
}

/** The heavier first; equal weights by name, so that all VMs agree. */
function compare(left: Weighed, right: Weighed): number {
  const difference = right.weight - left.weight;
  if (difference !== 0) return difference;
  return left.machine.name < right.machine.name ? -1 : 1;
}

/** FNV-1a. */
function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/** The finalizer of MurmurHash3: each bit in changes half of those out. */
function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FIRST);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_SECOND);
  return (hash ^ (hash >>> 16)) >>> 0;
}
