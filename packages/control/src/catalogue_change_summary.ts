import {Catalogue} from '@apricotlock/topology';

const MAXIMUM_LISTED_NAMES = 10;

/**
 * Returns a summary of a change for the audit trail: the names of the entries,
 * then those of the organisations, that were added (+), changed (~) and deleted
 * (-). It names no key and no digest of one.
 */
export function describeCatalogueChange(
  from: Catalogue,
  to: Catalogue,
): string {
  const entries = describeNames(from.entries, to.entries);
  const organisations = describeNames(
    from.organisations ?? [],
    to.organisations ?? [],
  );
  const parts = [
    ...(entries === '' ? [] : [entries]),
    ...(organisations === '' ? [] : [`organisations ${organisations}`]),
  ];
  return parts.length === 0 ? 'no entry' : parts.join('; ');
}

/** Unchanged items of successive catalogues are the same objects. */
function describeNames(
  from: ReadonlyArray<{readonly name: string}>,
  to: ReadonlyArray<{readonly name: string}>,
): string {
  const before = new Map(from.map(item => [item.name, item]));
  const after = new Map(to.map(item => [item.name, item]));
  const marks = [
    ...[...after]
      .filter(([name, item]) => before.get(name) !== item)
      .map(([name]) => `${before.has(name) ? '~' : '+'}${name}`),
    ...[...before.keys()]
      .filter(name => !after.has(name))
      .map(name => `-${name}`),
  ];
  const omittedCount = marks.length - MAXIMUM_LISTED_NAMES;
  const listed = marks.slice(0, MAXIMUM_LISTED_NAMES).join(' ');
  return omittedCount > 0 ? `${listed} and ${omittedCount} more` : listed;
}
