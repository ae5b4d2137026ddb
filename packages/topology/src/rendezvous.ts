import {VirtualMachine} from './virtual_machine.js';

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MURMUR_FIRST_MULTIPLIER = 0x85ebca6b;
const MURMUR_SECOND_MULTIPLIER = 0xc2b2ae35;
const MAXIMUM_RANKINGS = 1_024;

/**
 * Returns the entry VM that owns a member by rendezvous hashing: the serving VM
 * with the highest hash in the member's data centre, or among all serving VMs
 * if that data centre has none. When a VM is lost, only the members that it
 * owned change their owner. Returns `undefined` if no VM is serving. Source:
 * Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
 * 1998.
 */
export function ownerOf(
  memberName: string,
  dataCentre: string,
  machines: readonly VirtualMachine[],
): VirtualMachine | undefined {
  const [owner] = ownerRanking(memberName, dataCentre, machines, 1);
  return owner;
}

/**
 * Returns up to `count` VMs: the owner of a member, followed by the VMs that
 * would own it, in order, if the VMs before them were lost.
 */
export function ownerRanking(
  memberName: string,
  dataCentre: string,
  machines: readonly VirtualMachine[],
  count: number,
): readonly VirtualMachine[] {
  const {serving, byDataCentre, rankings} = indexMachines(machines);
  const key = `${count} ${dataCentre} ${memberName}`;
  const known = rankings.get(key);
  if (known !== undefined) return known;
  const candidates = byDataCentre.get(dataCentre) ?? serving;
  const ranking = selectHighestWeights(
    candidates,
    hashFnv1a(memberName),
    count,
  );
  if (rankings.size >= MAXIMUM_RANKINGS) rankings.clear();
  rankings.set(key, ranking);
  return ranking;
}

/**
 * Returns the weight of a candidate for a key, from 0 to less than 2^32. The
 * candidate with the highest weight is the first choice for the key.
 */
export function rendezvousWeight(key: string, candidate: string): number {
  return mixMurmur3(hashFnv1a(key) ^ hashFnv1a(candidate));
}

interface HashedMachine {
  readonly machine: VirtualMachine;
  readonly hash: number;
}

/**
 * The serving VMs of one list with the hashes of their names, which are
 * computed once and used for every member.
 */
interface MachineIndex {
  readonly serving: readonly HashedMachine[];
  readonly byDataCentre: ReadonlyMap<string, readonly HashedMachine[]>;
  /**
   * Rankings by count, data centre and member. Each statement asks for the same
   * few, which take time in proportion to the number of VMs.
   */
  readonly rankings: Map<string, readonly VirtualMachine[]>;
}

/** Indexes by list of VMs; valid because these lists are immutable. */
const machineIndexCache = new WeakMap<
  readonly VirtualMachine[],
  MachineIndex
>();

function indexMachines(machines: readonly VirtualMachine[]): MachineIndex {
  const cached = machineIndexCache.get(machines);
  if (cached !== undefined) return cached;
  const byDataCentre = new Map<string, HashedMachine[]>();
  const serving: HashedMachine[] = [];
  for (const machine of machines) {
    if (machine.state !== 'serving') continue;
    const hashed = {machine, hash: hashFnv1a(machine.name)};
    serving.push(hashed);
    const others = byDataCentre.get(machine.dataCentre);
    if (others === undefined) byDataCentre.set(machine.dataCentre, [hashed]);
    else others.push(hashed);
  }
  const index = {serving, byDataCentre, rankings: new Map()};
  machineIndexCache.set(machines, index);
  return index;
}

interface WeightedMachine {
  readonly machine: VirtualMachine;
  readonly weight: number;
}

function selectHighestWeights(
  machines: readonly HashedMachine[],
  memberHash: number,
  count: number,
): readonly VirtualMachine[] {
  let best: readonly WeightedMachine[] = [];
  for (const {machine, hash} of machines) {
    const weight = mixMurmur3(memberHash ^ hash);
    const lightest = best[best.length - 1];
    const full = best.length === count && lightest !== undefined;
    if (full && weight < lightest.weight) continue;
    const weighted = {machine, weight};
    best = [...best, weighted].sort(compareByWeight).slice(0, count);
  }
  return best.map(({machine}) => machine);
}

/**
 * Orders machines by descending weight. Equal weights are ordered by name, so
 * that every VM computes the same owner.
 */
function compareByWeight(
  left: WeightedMachine,
  right: WeightedMachine,
): number {
  const difference = right.weight - left.weight;
  if (difference !== 0) return difference;
  return left.machine.name < right.machine.name ? -1 : 1;
}

/** Returns the 32-bit FNV-1a hash of the UTF-16 code units of a text. */
function hashFnv1a(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * Applies the 32-bit finalizer of MurmurHash3, in which each input bit changes
 * half of the output bits on average.
 */
function mixMurmur3(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), MURMUR_FIRST_MULTIPLIER);
  hash = Math.imul(hash ^ (hash >>> 13), MURMUR_SECOND_MULTIPLIER);
  return (hash ^ (hash >>> 16)) >>> 0;
}
