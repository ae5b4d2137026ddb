import {
  CatalogueEntry,
  EntryLimits,
  MemberCapacity,
  ServiceClass,
} from '@apricotlock/topology';
import {Holding} from './ownership_messages.js';

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

/** What is left of limits while others still hold a part. */
export function withoutHeld(
  limits: OwnerLimits,
  held: readonly Holding[],
): OwnerLimits {
  const heldBy = (entry: string) =>
    sum(held.map(({leases}) => leases[entry] ?? 0));
  const leases = sum(held.flatMap(each => Object.values(each.leases)));
  const connections = sum(held.map(each => each.connections));
  return {
    entries: limits.entries.map(allowance => ({
      ...allowance,
      limits: {
        ...allowance.limits,
        connections: Math.max(
          0,
          allowance.limits.connections - heldBy(allowance.entry),
        ),
        slots: Math.max(0, allowance.limits.slots - heldBy(allowance.entry)),
      },
    })),
    connections: Math.max(0, limits.connections - connections),
    slots: Math.max(0, limits.slots - leases),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
