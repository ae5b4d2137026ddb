import {
  Catalogue,
  CatalogueEntry,
  ClusterView,
  DatabaseGroup,
  isStoredCatalogue,
  Organisation,
} from '@apricotlock/topology';

/** The difference between two views. */
export interface ViewDelta {
  /** Index of the view to which the delta applies. */
  readonly fromIndex: number;
  readonly index: number;
  readonly catalogueVersion: number;
  /** As in {@link Catalogue}; absent in a delta of an earlier version. */
  readonly catalogueStored?: true | undefined;
  /** New and changed entries. */
  readonly entries: readonly CatalogueEntry[];
  /** Names of deleted entries. */
  readonly removedEntries: readonly string[];
  /**
   * New and changed organisations; absent if there are none, and in a delta of
   * an earlier version.
   */
  readonly organisations?: readonly Organisation[] | undefined;
  /** Names of deleted organisations; absent as above. */
  readonly removedOrganisations?: readonly string[] | undefined;
  /** New and changed groups; groups are never deleted. */
  readonly groups: readonly DatabaseGroup[];
}

interface Named {
  readonly name: string;
}

/** The difference between two lists of items with unique names. */
interface ListDelta<Item extends Named> {
  readonly changed: readonly Item[];
  readonly removed: readonly string[];
}

/**
 * Returns the difference between a view and a later one. Views of one process
 * share their unchanged objects, so that objects are compared by identity. An
 * equal entry that is another object is sent needlessly but does no harm.
 */
export function deltaBetween(from: ClusterView, to: ClusterView): ViewDelta {
  const entries = listDelta(from.catalogue.entries, to.catalogue.entries);
  const organisations = listDelta(
    from.catalogue.organisations ?? [],
    to.catalogue.organisations ?? [],
  );
  const sameGroups = new Set(from.groups);
  return {
    fromIndex: from.index,
    index: to.index,
    catalogueVersion: to.catalogue.version,
    ...(isStoredCatalogue(to.catalogue) && {catalogueStored: true}),
    entries: entries.changed,
    removedEntries: entries.removed,
    ...(organisations.changed.length > 0 && {
      organisations: organisations.changed,
    }),
    ...(organisations.removed.length > 0 && {
      removedOrganisations: organisations.removed,
    }),
    groups: to.groups.filter(group => !sameGroups.has(group)),
  };
}

/** Returns the later view. The delta must start from the index of `view`. */
export function applyDelta(view: ClusterView, delta: ViewDelta): ClusterView {
  const {index} = delta;
  return {
    index,
    catalogue: mergeCatalogue(view.catalogue, delta),
    groups: mergeGroups(view.groups, delta.groups),
  };
}

function mergeCatalogue(catalogue: Catalogue, delta: ViewDelta): Catalogue {
  const organisations = mergeList(catalogue.organisations ?? [], {
    changed: delta.organisations ?? [],
    removed: delta.removedOrganisations ?? [],
  });
  return {
    version: delta.catalogueVersion,
    ...(delta.catalogueStored === true && {stored: true}),
    entries: mergeList(catalogue.entries, {
      changed: delta.entries,
      removed: delta.removedEntries,
    }),
    ...(organisations.length > 0 && {organisations}),
  };
}

function listDelta<Item extends Named>(
  from: readonly Item[],
  to: readonly Item[],
): ListDelta<Item> {
  if (from === to) return {changed: [], removed: []};
  const names = new Set(to.map(({name}) => name));
  const same = new Set(from);
  return {
    changed: to.filter(item => !same.has(item)),
    removed: from.map(({name}) => name).filter(name => !names.has(name)),
  };
}

function mergeList<Item extends Named>(
  items: readonly Item[],
  {changed, removed}: ListDelta<Item>,
): readonly Item[] {
  if (changed.length === 0 && removed.length === 0) return items;
  const merged = new Map(items.map(item => [item.name, item] as const));
  for (const name of removed) merged.delete(name);
  for (const item of changed) merged.set(item.name, item);
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
