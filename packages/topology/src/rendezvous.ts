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
  const {serving, near} = indexOf(machines);
  const candidates = near.get(dataCentre) ?? serving;
  return highest(candidates, hashOf(memberName), count);
}

interface Hashed {
  readonly machine: VirtualMachine;
  readonly hash: number;
}

/** The serving VMs of one list, hashed once for all members. */
interface MachineIndex {
  readonly serving: readonly Hashed[];
  readonly near: ReadonlyMap<string, readonly Hashed[]>;
}

const indexes = new WeakMap<readonly VirtualMachine[], MachineIndex>();

function indexOf(machines: readonly VirtualMachine[]): MachineIndex {
  const known = indexes.get(machines);
  if (known !== undefined) return known;
  const near = new Map<string, Hashed[]>();
  const serving: Hashed[] = [];
  for (const machine of machines) {
    if (machine.state !== 'serving') continue;
    const hashed = {machine, hash: hashOf(machine.name)};
    serving.push(hashed);
    const others = near.get(machine.dataCentre);
    if (others === undefined) near.set(machine.dataCentre, [hashed]);
    else others.push(hashed);
  }
  const index = {serving, near};
  indexes.set(machines, index);
  return index;
}

interface Weighed {
  readonly machine: VirtualMachine;
  readonly weight: number;
}

function highest(
  machines: readonly Hashed[],
  memberHash: number,
  count: number,
): readonly VirtualMachine[] {
  let best: readonly Weighed[] = [];
  for (const {machine, hash} of machines) {
    const weight = mix(memberHash ^ hash);
    const last = best[best.length - 1];
    const full = best.length === count && last !== undefined;
    if (full && weight < last.weight) continue;
    const weighed = {machine, weight};
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
