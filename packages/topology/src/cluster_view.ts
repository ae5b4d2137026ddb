import {Catalogue, EMPTY_CATALOGUE} from './catalogue.js';
import {DatabaseGroup} from './database_group.js';

/**
 * What the control quorum has decided, as of one index of its log. An entry VM
 * takes a view only if its index is higher than that of the one it has.
 */
export interface ClusterView {
  readonly index: number;
  readonly catalogue: Catalogue;
  readonly groups: readonly DatabaseGroup[];
}

/** The view before the first decision. */
export const EMPTY_VIEW: ClusterView = {
  index: 0,
  catalogue: EMPTY_CATALOGUE,
  groups: [],
};

/** Groups by database; a view never changes once it is made. */
const indexes = new WeakMap<ClusterView, ReadonlyMap<string, DatabaseGroup>>();

/** The group that serves a database. */
export function findGroup(
  view: ClusterView,
  database: string,
): DatabaseGroup | undefined {
  return indexOf(view).get(database);
}

function indexOf(view: ClusterView): ReadonlyMap<string, DatabaseGroup> {
  const known = indexes.get(view);
  if (known !== undefined) return known;
  const index = new Map(view.groups.map(group => [group.database, group]));
  indexes.set(view, index);
  return index;
}
