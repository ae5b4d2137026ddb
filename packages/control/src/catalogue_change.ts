import {isDeepStrictEqual} from 'node:util';
import {
  Catalogue,
  CatalogueEntry,
  ClusterView,
  DatabaseGroup,
  isStoredCatalogue,
  Organisation,
} from '@apricotlock/topology';
import {ViewChange} from './view_change.js';

/** What an operator's change puts into the catalogue. */
export interface CatalogueContent {
  readonly entries: readonly CatalogueEntry[];
  readonly organisations?: readonly Organisation[] | undefined;
}

/**
 * Replaces the content of the catalogue if `baseVersion`, from which it was
 * edited, is still the current version; otherwise the result is a conflict. An
 * edit without organisations, such as one by an earlier version of the product,
 * leaves them as they are.
 */
export function putCatalogue(
  view: ClusterView,
  baseVersion: number,
  {entries, organisations}: CatalogueContent,
): ViewChange {
  const {catalogue} = view;
  if (baseVersion !== catalogue.version) return {kind: 'conflict'};
  return changeCatalogue(view, catalogue.version + 1, {
    entries,
    organisations: organisations ?? catalogue.organisations,
  });
}

/**
 * Replaces the catalogue with one whose version the operators chose. A version
 * not above that of the stored catalogue is treated as a late or repeated
 * request: it changes nothing and is not refused. Any version can be the first.
 */
export function replaceCatalogue(
  view: ClusterView,
  version: number,
  content: CatalogueContent,
): ViewChange {
  const {catalogue} = view;
  if (isStoredCatalogue(catalogue) && version <= catalogue.version) {
    return {kind: 'unchanged'};
  }
  return changeCatalogue(view, version, content);
}

function changeCatalogue(
  view: ClusterView,
  version: number,
  {entries, organisations = []}: CatalogueContent,
): ViewChange {
  const before = view.catalogue;
  const catalogue: Catalogue = {
    version,
    stored: true,
    entries: reuseUnchanged(entries, before.entries),
    // A catalogue without organisations is equal to one of an earlier version.
    ...(organisations.length > 0 && {
      organisations: reuseUnchanged(organisations, before.organisations ?? []),
    }),
  };
  const groups = updateGroups(entries, view.groups);
  return {kind: 'changed', view: {...view, catalogue, groups}};
}

/**
 * Returns the items sorted by name, so that catalogues with the same content
 * are equal. Unchanged items remain the same objects, so that a delta between
 * views can compare by identity.
 */
function reuseUnchanged<Item extends {readonly name: string}>(
  items: readonly Item[],
  before: readonly Item[],
): readonly Item[] {
  const known = new Map(before.map(item => [item.name, item]));
  return items
    .map(item => {
      const previous = known.get(item.name);
      return previous !== undefined && isDeepStrictEqual(previous, item)
        ? previous
        : item;
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
