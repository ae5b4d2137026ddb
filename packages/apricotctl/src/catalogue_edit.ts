import {isDeepStrictEqual} from 'node:util';
import {Either, Left, Right} from 'purify-ts';
import {CatalogueEntry} from '@apricotlock/topology';

type Json = unknown;
type JsonObject = Readonly<Record<string, Json>>;

const FORBIDDEN_KEYS: ReadonlySet<string> = new Set([
  '__proto__',
  'constructor',
  'prototype',
]);

/** One difference between two catalogues. */
export interface CatalogueChange {
  readonly kind: 'add' | 'delete' | 'change';
  /** Such as `booking.limits.slots`. */
  readonly path: string;
  readonly now?: Json;
  readonly wanted?: Json;
}

/**
 * The entries with values of one of them set; an entry of a new name is
 * added. `Left` says which assignment is wrong. The system checks the rest.
 */
export function withAssignments(
  entries: readonly CatalogueEntry[],
  name: string,
  assignments: readonly string[],
): Either<string, readonly unknown[]> {
  const found = entries.find(entry => entry.name === name);
  let edited: JsonObject = {...(found ?? {name})};
  for (const assignment of assignments) {
    const equals = assignment.indexOf('=');
    const keys = assignment.slice(0, Math.max(0, equals)).split('.');
    if (
      equals <= 0 ||
      keys.some(key => key === '' || FORBIDDEN_KEYS.has(key))
    ) {
      return Left(`"${assignment}" is not PATH=VALUE`);
    }
    edited = withValue(edited, keys, readValue(assignment.slice(equals + 1)));
  }
  if (found === undefined) return Right([...entries, edited]);
  return Right(entries.map(entry => (entry === found ? edited : entry)));
}

/** What differs, entry by entry and value by value. */
export function catalogueChanges(
  now: readonly unknown[],
  wanted: readonly unknown[],
): readonly CatalogueChange[] {
  const before = byName(now);
  const after = byName(wanted);
  const gone = [...before.keys()].filter(name => !after.has(name));
  return [
    ...gone.map((path): CatalogueChange => ({kind: 'delete', path})),
    ...[...after].flatMap(([name, entry]) => {
      const known = before.get(name);
      if (known !== undefined) return valueChanges(name, known, entry);
      const added: CatalogueChange = {kind: 'add', path: name, wanted: entry};
      return [added];
    }),
  ];
}

function valueChanges(
  path: string,
  now: Json,
  wanted: Json,
): readonly CatalogueChange[] {
  if (isDeepStrictEqual(now, wanted)) return [];
  if (!isObject(now) || !isObject(wanted)) {
    return [{kind: 'change', path, now, wanted}];
  }
  const keys = new Set([...Object.keys(now), ...Object.keys(wanted)]);
  return [...keys].flatMap(key =>
    valueChanges(`${path}.${key}`, now[key], wanted[key]),
  );
}

function withValue(
  object: JsonObject,
  [key = '', ...rest]: readonly string[],
  value: Json,
): JsonObject {
  if (rest.length === 0) return {...object, [key]: value};
  const inner = object[key];
  const changed = withValue(isObject(inner) ? inner : {}, rest, value);
  return {...object, [key]: changed};
}

/** A number, `true` or the like where it reads as one; a text otherwise. */
function readValue(text: string): Json {
  try {
    return JSON.parse(text) as Json;
  } catch {
    return text;
  }
}

function byName(entries: readonly unknown[]): ReadonlyMap<string, unknown> {
  return new Map(
    entries.map(entry => [String((entry as {name?: unknown})?.name), entry]),
  );
}

function isObject(value: Json): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
