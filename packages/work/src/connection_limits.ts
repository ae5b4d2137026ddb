import {
  assignedOwner,
  ClusterView,
  DatabaseGroup,
  Member,
  VirtualMachine,
} from '@apricotlock/topology';

const DEFAULT_SLOTS = 2;
const DEFAULT_CONNECTIONS = 16;
/** The share of a primary's connections that its lease holder may open. */
const LEASE_HOLDER_SHARE = 0.7;
/** The share of a replica's connections that its owner VM may open. */
const REPLICA_OWNER_SHARE = 0.5;
/** Connections that are kept open in addition to one for each slot. */
const SPARE_CONNECTIONS = 1;

/** The limits of a connection pool. */
export interface ConnectionLimits {
  /** The maximum number of connections, including those being opened. */
  readonly maximum: number;
  /** The number of connections that are kept open while there is no work. */
  readonly warm: number;
  /**
   * Whether callers belong to organisations. Then no connection is opened
   * before work of its organisation needs it.
   */
  readonly byOrganisation: boolean;
}

/** What a VM knows when it decides on its connections to a member. */
export interface ConnectionLimitFacts {
  readonly self: string;
  readonly view: ClusterView;
  /** The entry VMs, one of which owns each replica. */
  readonly machines: readonly VirtualMachine[];
}

/** Returns the number of statements that a member runs at once. */
export function slotsOf({capacity}: Member): number {
  return capacity?.slots ?? DEFAULT_SLOTS;
}

/**
 * Returns the limits of a VM's connections to a member, which depend on whether
 * the VM is the lease holder of a primary or the owner of a replica.
 */
export function connectionLimitsFor(
  {self, view, machines}: ConnectionLimitFacts,
  {primary, holder}: DatabaseGroup,
  member: Member,
): ConnectionLimits {
  const memberMaximum = maximumConnectionsOf(view, member);
  const needed = slotsOf(member) + SPARE_CONNECTIONS;
  const byOrganisation = (view.catalogue.organisations ?? []).length > 0;
  const shareOf = (share: number) =>
    Math.max(1, Math.floor(memberMaximum * share));
  if (primary === member.name) {
    return holder === self
      ? {maximum: shareOf(LEASE_HOLDER_SHARE), warm: needed, byOrganisation}
      : {maximum: 1, warm: 0, byOrganisation};
  }
  const owner = assignedOwner(view.groups, machines, member.name);
  return owner?.name === self
    ? {maximum: shareOf(REPLICA_OWNER_SHARE), warm: needed, byOrganisation}
    : {maximum: needed, warm: 0, byOrganisation};
}

/** Returns how many connections a member accepts from all VMs together. */
function maximumConnectionsOf(
  {catalogue}: ClusterView,
  {database, capacity}: Member,
): number {
  const allowed = catalogue.entries
    .filter(entry => entry.database === database)
    .map(({limits}) => limits.connections);
  const byCatalogue =
    allowed.length === 0 ? DEFAULT_CONNECTIONS : Math.max(...allowed);
  return Math.min(byCatalogue, capacity?.connections ?? byCatalogue);
}
