import {isDeepStrictEqual} from 'node:util';
import {
  CatalogueEntry,
  ClusterView,
  DatabaseGroup,
} from '@apricotlock/topology';
import {ViewChange} from './view_change.js';

/**
 * Replaces the entries of the catalogue if `baseVersion`, from which they were
 * edited, is still the current version; otherwise the result is a conflict.
 */
export function putCatalogue(
  view: ClusterView,
  baseVersion: number,
  entries: readonly CatalogueEntry[],
): ViewChange {
  const {version} = view.catalogue;
  if (baseVersion !== version) return {kind: 'conflict'};
  const catalogue = {
    version: version + 1,
    entries: reuseUnchangedEntries(entries, view.catalogue.entries),
  };
  const groups = updateGroups(entries, view.groups);
  return {kind: 'changed', view: {...view, catalogue, groups}};
}

/**
 * Replaces the catalogue with one whose version the operators chose. A version
 * not above the current one is treated as a late or repeated request: it
 * changes nothing and is not refused.
 */
export function replaceCatalogue(
  view: ClusterView,
  version: number,
  entries: readonly CatalogueEntry[],
): ViewChange {
  if (version <= view.catalogue.version) return {kind: 'unchanged'};
  const catalogue = {
    version,
    entries: reuseUnchangedEntries(entries, view.catalogue.entries),
  };
  const groups = updateGroups(entries, view.groups);
  return {kind: 'changed', view: {...view, catalogue, groups}};
}

/**
 * Returns the entries sorted by name, so that catalogues with the same entries
 * are equal. Unchanged entries remain the same objects, so that a delta between
 * views can compare by identity.
 */
function reuseUnchangedEntries(
  entries: readonly CatalogueEntry[],
  before: readonly CatalogueEntry[],
): readonly CatalogueEntry[] {
  const known = new Map(before.map(entry => [entry.name, entry]));
  return entries
    .map(entry => {
      const previous = known.get(entry.name);
      return previous !== undefined && isDeepStrictEqual(previous, entry)
        ? previous
        : entry;
    })
    .sort((left, right) => (left.name < right.name ? -1 : 1));
}

/**
 * Returns the groups with the sizes of the new entries, and new groups for
 * databases without one. A group remains when its last entry is deleted,
 * because its members still hold the data.
 */
function updateGroups(
  entries: readonly CatalogueEntry[],
  groups: readonly DatabaseGroup[],
): readonly DatabaseGroup[] {
  const sizes = new Map<string, number>();
  for (const {database, members} of entries) {
    sizes.set(database, Math.max(sizes.get(database) ?? 0, members));
  }
  const updated = groups.map(group => {
    const size = sizes.get(group.database) ?? group.size;
    sizes.delete(group.database);
    return size === group.size ? group : {...group, size};
  });
  const added = [...sizes].map(([database, size]) => newGroup(database, size));
  return [...updated, ...added];
}

function newGroup(database: string, size: number): DatabaseGroup {
  return {database, size, term: 0, primary: undefined, members: []};
}
