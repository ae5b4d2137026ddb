import {
  CatalogueEntry,
  ClusterView,
  DatabaseGroup,
} from '@apricotlock/topology';

/** What changed between two views. */
export interface ViewDelta {
  /** The index of the view that it changes. */
  readonly fromIndex: number;
  readonly index: number;
  readonly catalogueVersion: number;
  /** Entries that are new or changed. */
  readonly entries: readonly CatalogueEntry[];
  /** Names of entries that are gone. */
  readonly removedEntries: readonly string[];
  /** Groups that are new or changed; groups never go. */
  readonly groups: readonly DatabaseGroup[];
}

/**
 * What changed from one view to a later one. Views of one process share what
 * did not change, so that comparing objects is enough: an entry that is equal
 * and not the same is sent without need and does no harm.
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

/** The later view; the delta must begin at this one. */
export function applyDelta(view: ClusterView, delta: ViewDelta): ClusterView {
  const {index, catalogueVersion: version} = delta;
  return {
    index,
    catalogue: {version, entries: changedEntries(view, delta)},
    groups: changedGroups(view.groups, delta.groups),
  };
}

function changedEntries(
  {catalogue}: ClusterView,
  {entries, removedEntries}: ViewDelta,
): readonly CatalogueEntry[] {
  if (entries.length === 0 && removedEntries.length === 0) {
    return catalogue.entries;
  }
  const changed = new Map(
    catalogue.entries.map(entry => [entry.name, entry] as const),
  );
  for (const name of removedEntries) changed.delete(name);
  for (const entry of entries) changed.set(entry.name, entry);
  return [...changed.values()].sort((left, right) =>
    left.name < right.name ? -1 : 1,
  );
}

function changedGroups(
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
