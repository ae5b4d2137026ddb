import {isDeepStrictEqual} from 'node:util';
import {
  CatalogueEntry,
  ClusterView,
  DatabaseGroup,
} from '@apricotlock/topology';
import {Change} from './view_change.js';

/** Puts the catalogue that was edited from one version, if that is still it. */
export function putCatalogue(
  view: ClusterView,
  baseVersion: number,
  entries: readonly CatalogueEntry[],
): Change {
  const {version} = view.catalogue;
  if (baseVersion !== version) return {kind: 'conflict'};
  const catalogue = {
    version: version + 1,
    entries: sharedEntries(entries, view.catalogue.entries),
  };
  const groups = groupsFor(entries, view.groups);
  return {kind: 'changed', view: {...view, catalogue, groups}};
}

/**
 * An operator's version that is not above the one in force is taken for an
 * order that came late or twice: it changes nothing and is not refused.
 */
export function replaceCatalogue(
  view: ClusterView,
  version: number,
  entries: readonly CatalogueEntry[],
): Change {
  if (version <= view.catalogue.version) return {kind: 'unchanged'};
  const catalogue = {
    version,
    entries: sharedEntries(entries, view.catalogue.entries),
  };
  const groups = groupsFor(entries, view.groups);
  return {kind: 'changed', view: {...view, catalogue, groups}};
}

/**
 * Entries by name, so that two catalogues with the same entries are equal;
 * what did not change stays the same object, so that it is found fast.
 */
function sharedEntries(
  entries: readonly CatalogueEntry[],
  before: readonly CatalogueEntry[],
): readonly CatalogueEntry[] {
  const known = new Map(before.map(entry => [entry.name, entry]));
  return entries
    .map(entry => {
      const old = known.get(entry.name);
      return old !== undefined && isDeepStrictEqual(old, entry) ? old : entry;
    })
    .sort((left, right) => (left.name < right.name ? -1 : 1));
}

/** Groups outlive their entries: their members still have their data. */
function groupsFor(
  entries: readonly CatalogueEntry[],
  groups: readonly DatabaseGroup[],
): readonly DatabaseGroup[] {
  const sizes = new Map<string, number>();
  for (const {database, members} of entries) {
    sizes.set(database, Math.max(sizes.get(database) ?? 0, members));
  }
  const known = groups.map(group => {
    const size = sizes.get(group.database) ?? group.size;
    sizes.delete(group.database);
    return size === group.size ? group : {...group, size};
  });
  const added = [...sizes].map(([database, size]) => newGroup(database, size));
  return [...known, ...added];
}

function newGroup(database: string, size: number): DatabaseGroup {
  return {database, size, term: 0, primary: undefined, members: []};
}
