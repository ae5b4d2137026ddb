import {DatabaseGroup, rendezvousWeight} from '@apricotlock/topology';

/**
 * Cost of a replica that is not the preferred one of an organisation. It is
 * more than that of another data centre, and less than that of the primary and
 * than the 12 ms for which opening a connection occupies a slot. It also bounds
 * the load of the preferred replica: once new work waits there this much longer
 * than elsewhere, reads go elsewhere.
 */
export const AFFINITY_COST_MILLISECONDS = 6;

/**
 * Returns the replica that the reads of an organisation prefer on all VMs, by
 * rendezvous hashing; `undefined` if there is none. A connection to a member
 * serves one organisation only, so many organisations with reads on every
 * replica would need more connections than a member accepts.
 */
export function preferredReplica(
  {members, primary}: DatabaseGroup,
  organisation: string,
): string | undefined {
  let preferred: string | undefined;
  let highest = -1;
  for (const {name, state} of members) {
    if (state !== 'active' || name === primary) continue;
    const weight = rendezvousWeight(organisation, name);
    if (weight <= highest) continue;
    highest = weight;
    preferred = name;
  }
  return preferred;
}
