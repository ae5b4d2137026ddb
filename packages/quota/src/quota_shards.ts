import {ownerOf, VirtualMachine} from '@apricotlock/topology';

/** Enough to spread organisations, few enough to rank for each list of VMs. */
export const SHARD_COUNT = 64;
/** No data centre has this name, so that all serving VMs are ranked. */
export const ANY_DATA_CENTRE = '';
const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the shard of an organisation, by the FNV-1a hash of its name. */
export function shardOf(organisation: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < organisation.length; index++) {
    hash = Math.imul(hash ^ organisation.charCodeAt(index), FNV_PRIME);
  }
  return (hash >>> 0) % SHARD_COUNT;
}

/** Returns the text by which the VMs are ranked for a shard. */
export function shardKey(shard: number): string {
  return `quota/${shard}`;
}

/** Returns the coordinator of a shard: the first serving VM in its ranking. */
export function coordinatorOf(
  shard: number,
  entryMachines: readonly VirtualMachine[],
): VirtualMachine | undefined {
  return ownerOf(shardKey(shard), ANY_DATA_CENTRE, entryMachines);
}
