import {Catalogue, EMPTY_CATALOGUE} from './catalogue.js';
import {DatabaseGroup} from './database_group.js';

/**
 * The catalogue and database groups as decided by the control quorum, as of one
 * index of its log. An entry VM replaces its view only by one with a higher
 * index, so that a delayed older view cannot undo a newer decision.
 */
export interface ClusterView {
  readonly index: number;
  readonly catalogue: Catalogue;
  readonly groups: readonly DatabaseGroup[];
}

/** The view before the first decision of the control quorum. */
export const EMPTY_VIEW: ClusterView = {
  index: 0,
  catalogue: EMPTY_CATALOGUE,
  groups: [],
};

/** Group indexes by view; valid because a view is immutable. */
const groupIndexCache = new WeakMap<
  ClusterView,
  ReadonlyMap<string, DatabaseGroup>
>();

/** Returns the group of a database, or `undefined` if there is none. */
export function findGroup(
  view: ClusterView,
  database: string,
): DatabaseGroup | undefined {
  return groupsByDatabase(view).get(database);
}

function groupsByDatabase(
  view: ClusterView,
): ReadonlyMap<string, DatabaseGroup> {
  const cached = groupIndexCache.get(view);
  if (cached !== undefined) return cached;
  const index = new Map(view.groups.map(group => [group.database, group]));
  groupIndexCache.set(view, index);
  return index;
}
