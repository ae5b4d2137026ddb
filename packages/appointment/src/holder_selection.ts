import {PeerNetwork} from '@apricotlock/peer';
import {
  assignedOwner,
  DatabaseGroup,
  Member,
  ownerRanking,
  VirtualMachine,
} from '@apricotlock/topology';
import {PING} from '@apricotlock/work';

/** The VMs that are asked for a sign of life before one becomes the holder. */
const MAXIMUM_CANDIDATES = 8;
/** VMs that are asked in case all those in the primary's data centre are lost. */
const MAXIMUM_REMOTE_CANDIDATES = 4;
const PING_TIMEOUT_MILLISECONDS = 150;

/**
 * Returns the entry VMs that may become the lease holder of a primary, the
 * preferred one first: its owner among all members, so that no VM works on two
 * members while others work on none; then those in the primary's data centre, and
 * then some others.
 */
export function holderRanking(
  {name, dataCentre}: Member,
  machines: readonly VirtualMachine[],
  groups: readonly DatabaseGroup[],
): readonly VirtualMachine[] {
  const owner = assignedOwner(groups, machines, name);
  const preferred = ownerRanking(
    name,
    dataCentre,
    machines,
    MAXIMUM_CANDIDATES,
  );
  const elsewhere = machines.filter(
    machine =>
      machine.dataCentre !== dataCentre && !preferred.includes(machine),
  );
  const others = ownerRanking(name, '', elsewhere, MAXIMUM_REMOTE_CANDIDATES);
  const ranking = [...preferred, ...others];
  return owner === undefined
    ? ranking
    : [owner, ...ranking.filter(machine => machine !== owner)];
}

/**
 * Returns the first VM in the ranking that answers this one. It answers the
 * partition that separates many entry VMs from control: membership still counts
 * them as live for a while, and each of them that is assigned costs callers the
 * silence after which it is replaced. If none answers, returns the first one.
 */
export async function selectLeaseHolder(
  ranking: readonly VirtualMachine[],
  network: PeerNetwork,
): Promise<VirtualMachine | undefined> {
  const pings = ranking.map(({peerAddress}) =>
    network.call(peerAddress, PING, {}, PING_TIMEOUT_MILLISECONDS),
  );
  for (const [index, ping] of pings.entries()) {
    if ((await ping).isRight()) return ranking[index];
  }
  return ranking[0];
}
