import {isDeepStrictEqual} from 'node:util';
import {Either, Left, Right} from 'purify-ts';
import {CatalogueEntry, digestOfKey, Organisation} from '@apricotlock/topology';

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
  /** The entry and, for a change, the value in it: `booking.limits.slots`. */
  readonly path: string;
  readonly now?: Json;
  readonly wanted?: Json;
}

/**
 * Returns the entries with the `PATH=VALUE` assignments applied to the entry
 * called `name`, which is added if it does not exist. Returns `Left` with a
 * message if an assignment is malformed; the system validates the values.
 */
export function withAssignments(
  entries: readonly CatalogueEntry[],
  name: string,
  assignments: readonly string[],
): Either<string, readonly unknown[]> {
  const found = entries.find(entry => entry.name === name);
  let edited: JsonObject = {...(found ?? {name})};
  for (const assignment of assignments) {
    const equalsIndex = assignment.indexOf('=');
    const keys = assignment.slice(0, Math.max(0, equalsIndex)).split('.');
    if (
      equalsIndex <= 0 ||
      keys.some(key => key === '' || FORBIDDEN_KEYS.has(key))
    ) {
      return Left(`"${assignment}" is not PATH=VALUE`);
    }
    edited = withValue(
      edited,
      keys,
      parseValue(assignment.slice(equalsIndex + 1)),
    );
  }
  if (found === undefined) return Right([...entries, edited]);
  return Right(entries.map(entry => (entry === found ? edited : entry)));
}

/**
 * Returns the differences between two lists of entries: deleted and added
 * entries, and each changed value in the others.
 */
export function catalogueChanges(
  now: readonly unknown[],
  wanted: readonly unknown[],
): readonly CatalogueChange[] {
  const currentEntries = indexByName(now);
  const wantedEntries = indexByName(wanted);
  const deletedNames = [...currentEntries.keys()].filter(
    name => !wantedEntries.has(name),
  );
  return [
    ...deletedNames.map((path): CatalogueChange => ({kind: 'delete', path})),
    ...[...wantedEntries].flatMap(([name, entry]) => {
      const known = currentEntries.get(name);
      if (known !== undefined) return valueChanges(name, known, entry);
      const added: CatalogueChange = {kind: 'add', path: name, wanted: entry};
      return [added];
    }),
  ];
}

/**
 * Returns the differences between the organisations of the catalogue and those
 * of a file. Keys in the file are compared, and shown, as their digests. A file
 * without organisations changes none.
 */
export function organisationChanges(
  now: readonly Organisation[] = [],
  wanted: readonly unknown[] | undefined,
): readonly CatalogueChange[] {
  if (wanted === undefined) return [];
  return catalogueChanges(now, wanted.map(withDigests)).map(change => ({
    ...change,
    path: `organisations.${change.path}`,
  }));
}

function withDigests(organisation: unknown): unknown {
  if (!isObject(organisation)) return organisation;
  const {keys, keyDigests, ...others} = organisation;
  const digests = [
    ...(Array.isArray(keyDigests) ? (keyDigests as unknown[]) : []),
    ...(Array.isArray(keys) ? keys.map(key => digestOfKey(String(key))) : []),
  ];
  return {...others, keyDigests: [...new Set(digests)]};
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

/** Parses the text as JSON; text that is not valid JSON is a string. */
function parseValue(text: string): Json {
  try {
    return JSON.parse(text) as Json;
  } catch {
    return text;
  }
}

function indexByName(
  entries: readonly unknown[],
): ReadonlyMap<string, unknown> {
  return new Map(
    entries.map(entry => [String((entry as {name?: unknown})?.name), entry]),
  );
}

function isObject(value: Json): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
