import {
  CatalogueEntry,
  EntryLimits,
  MemberCapacity,
  ServiceClass,
} from '@apricotlock/topology';
import {Holding} from './ownership_messages.js';

/** Limits of one entry at a member, and its scheduling weight. */
export interface EntryAllowance {
  readonly entry: string;
  readonly weight: number;
  readonly limits: EntryLimits;
}

/** Limits of all entries together at a member. */
export interface OwnerLimits {
  readonly entries: readonly EntryAllowance[];
  /** Maximum number of open connections. */
  readonly connections: number;
  /** Maximum number of statements that run at the same time. */
  readonly slots: number;
}

const CLASS_WEIGHTS: Readonly<Record<ServiceClass, number>> = {
  critical: 8,
  standard: 4,
  background: 1,
};

/**
 * Computes the limits at a member: the sums of its entries' limits, capped by
 * the capacity that the member announces.
 */
export function computeOwnerLimits(
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

/**
 * Returns the limits that remain while other owners still hold connections and
 * leases. Each lease counts as one slot, since it may be running a statement.
 */
export function subtractHoldings(
  limits: OwnerLimits,
  held: readonly Holding[],
): OwnerLimits {
  const countLeases = (entry: string) =>
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
          allowance.limits.connections - countLeases(allowance.entry),
        ),
        slots: Math.max(
          0,
          allowance.limits.slots - countLeases(allowance.entry),
        ),
      },
    })),
    connections: Math.max(0, limits.connections - connections),
    slots: Math.max(0, limits.slots - leases),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
