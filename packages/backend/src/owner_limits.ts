import {
  CatalogueEntry,
  EntryLimits,
  MemberCapacity,
  ServiceClass,
} from '@apricotlock/topology';

/** What one entry may use of a member, and its weight among the others. */
export interface EntryAllowance {
  readonly entry: string;
  readonly weight: number;
  readonly limits: EntryLimits;
}

/** What the sessions of all entries together may use of a member. */
export interface OwnerLimits {
  readonly entries: readonly EntryAllowance[];
  /** Open connections at most. */
  readonly connections: number;
  /** Statements that run at once at most. */
  readonly slots: number;
}

const CLASS_WEIGHTS: Readonly<Record<ServiceClass, number>> = {
  critical: 8,
  standard: 4,
  background: 1,
};

/**
 * The limits at a member: the sums of its entries' limits, but never more than
 * the capacity that the member announces.
 */
export function ownerLimits(
  entries: readonly CatalogueEntry[],
  capacity: MemberCapacity | undefined,
): OwnerLimits {
  const connections = sum(entries.map(entry => entry.limits.connections));
  const slots = sum(entries.map(entry => entry.limits.slots));
  return {
    entries: entries.map(entry => ({
      entry: entry.name,
      weight: CLASS_WEIGHTS[entry.class],
      limits: entry.limits,
    })),
    connections: Math.min(connections, capacity?.connections ?? Infinity),
    slots: Math.min(slots, capacity?.slots ?? Infinity),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
