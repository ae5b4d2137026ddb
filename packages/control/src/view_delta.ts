import {
  CatalogueEntry,
  ClusterView,
  DatabaseGroup,
} from '@apricotlock/topology';

/** The difference between two views. */
export interface ViewDelta {
  /** Index of the view to which the delta applies. */
  readonly fromIndex: number;
  readonly index: number;
  readonly catalogueVersion: number;
  /** New and changed entries. */
  readonly entries: readonly CatalogueEntry[];
  /** Names of deleted entries. */
  readonly removedEntries: readonly string[];
  /** New and changed groups; groups are never deleted. */
  readonly groups: readonly DatabaseGroup[];
}

/**
 * Returns the difference between a view and a later one. Views of one process
 * share their unchanged objects, so that objects are compared by identity. An
 * equal entry that is another object is sent needlessly but does no harm.
 */
export function deltaBetween(from: ClusterView, to: ClusterView): ViewDelta {
  const names = new Set(to.catalogue.entries.map(({name}) => name));
  const sameEntries = new Set(from.catalogue.entries);
  const sameGroups = new Set(from.groups);
  return {
    fromIndex: from.index,
    index: to.index,
    catalogueVersion: to.catalogue.version,
    entries: to.catalogue.entries.filter(entry => !sameEntries.has(entry)),
    removedEntries: from.catalogue.entries
      .map(({name}) => name)
      .filter(name => !names.has(name)),
    groups: to.groups.filter(group => !sameGroups.has(group)),
  };
}

/** Returns the later view. The delta must start from the index of `view`. */
export function applyDelta(view: ClusterView, delta: ViewDelta): ClusterView {
  const {index, catalogueVersion: version} = delta;
  return {
    index,
    catalogue: {version, entries: mergeEntries(view, delta)},
    groups: mergeGroups(view.groups, delta.groups),
  };
}

function mergeEntries(
  {catalogue}: ClusterView,
  {entries, removedEntries}: ViewDelta,
): readonly CatalogueEntry[] {
  if (entries.length === 0 && removedEntries.length === 0) {
    return catalogue.entries;
  }
  const merged = new Map(
    catalogue.entries.map(entry => [entry.name, entry] as const),
  );
  for (const name of removedEntries) merged.delete(name);
  for (const entry of entries) merged.set(entry.name, entry);
  return [...merged.values()].sort((left, right) =>
    left.name < right.name ? -1 : 1,
  );
}

function mergeGroups(
  groups: readonly DatabaseGroup[],
  changes: readonly DatabaseGroup[],
): readonly DatabaseGroup[] {
  if (changes.length === 0) return groups;
  const changed = new Map(
    groups.map(group => [group.database, group] as const),
  );
  for (const group of changes) changed.set(group.database, group);
  return [...changed.values()];
}
