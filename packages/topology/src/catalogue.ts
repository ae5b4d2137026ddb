import {z} from 'zod';
import {Either, Left, Right} from 'purify-ts';
import {
  CatalogueValidationError,
  toValidationErrors,
} from './catalogue_validation_error.js';
import {Organisation} from './organisation.js';

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,252}$/;
/** The largest duration of the terms of an entry. */
export const MAXIMUM_DURATION_MILLISECONDS = 3_600_000;
/** The largest number of a priority. */
export const LOWEST_PRIORITY = 1_000;
const MAXIMUM_MEMBERS = 9;
const MAXIMUM_ENTRIES = 20_000;
const MAXIMUM_CONNECTIONS = 10_000;
const MAXIMUM_QUEUE_LENGTH = 1_000_000;
/** The largest time that a statement may wait for a connection. */
export const MAXIMUM_QUEUE_MILLISECONDS = 600_000;

const nameSchema = z
  .string()
  .regex(
    NAME_PATTERN,
    'a name consists of letters, digits, dots, underscores and hyphens',
  );

const limitsSchema = z.strictObject({
  connections: z.int().min(1).max(MAXIMUM_CONNECTIONS),
  slots: z.int().min(1).max(MAXIMUM_CONNECTIONS),
  queueLength: z.int().min(0).max(MAXIMUM_QUEUE_LENGTH),
  queueMilliseconds: z.int().min(0).max(MAXIMUM_QUEUE_MILLISECONDS),
});

const verifierSchema = z.strictObject({
  salt: z.string(),
  iterations: z.int().min(4096).max(10_000_000),
  storedKey: z.string(),
  serverKey: z.string(),
});

const milliseconds = z.number().min(0).max(MAXIMUM_DURATION_MILLISECONDS);

const termsSchema = z.strictObject({
  consistency: z.enum(['primary', 'boundedStaleness', 'readYourWrites']),
  maximumStalenessMilliseconds: milliseconds.optional(),
  statementMilliseconds: milliseconds,
  objectiveMilliseconds: milliseconds.optional(),
  idleTransactionMilliseconds: milliseconds.optional(),
  priority: z.int().min(0).max(LOWEST_PRIORITY),
  synchronousReplicas: z.int().min(0).max(MAXIMUM_MEMBERS).optional(),
  allowsAnonymous: z.boolean().optional(),
});

/** The schema of one catalogue entry; unknown fields are errors. */
export const catalogueEntrySchema = z.strictObject({
  name: nameSchema,
  owner: z.string().min(1).max(200),
  class: z.enum(['critical', 'standard', 'background']),
  database: nameSchema,
  members: z.int().min(1).max(MAXIMUM_MEMBERS),
  limits: limitsSchema,
  verifier: verifierSchema.optional(),
  terms: termsSchema.optional(),
});

const entriesSchema = z
  .array(catalogueEntrySchema)
  .max(MAXIMUM_ENTRIES)
  .superRefine((entries, context) => {
    const seen = new Set<string>();
    entries.forEach((entry, index) => {
      if (seen.has(entry.name)) {
        context.addIssue({
          code: 'custom',
          path: [index, 'name'],
          message: `duplicate entry name "${entry.name}"`,
        });
      }
      seen.add(entry.name);
    });
  });

/** The importance of an entry's work when not all work can be done. */
export type ServiceClass = 'critical' | 'standard' | 'background';

/** The limits of one entry at each member of its database group. */
export interface EntryLimits {
  /** The maximum number of open connections to a member. */
  readonly connections: number;
  /** The maximum number of statements that a member runs at once. */
  readonly slots: number;
  /** The maximum number of statements that wait for a connection. */
  readonly queueLength: number;
  /** The longest wait of a statement for a connection, in milliseconds. */
  readonly queueMilliseconds: number;
}

/**
 * The SCRAM-SHA-256 verifier of an entry's password (RFC 7677), which is stored
 * instead of the password. Binary values are in base64.
 */
export interface EntryVerifier {
  readonly salt: string;
  readonly iterations: number;
  readonly storedKey: string;
  readonly serverKey: string;
}

/** The writes that are guaranteed to be visible to a read. */
export type Consistency =
  /** All writes that were acknowledged before the read began. */
  | 'primary'
  /**
   * All writes that were acknowledged longer ago than the maximum staleness.
   */
  | 'boundedStaleness'
  /** As `boundedStaleness`, and all earlier writes of the same session. */
  | 'readYourWrites';

/** The consistency and timing that an entry gives to each statement. */
export interface ServiceTerms {
  readonly consistency: Consistency;
  /** The maximum age of the data that a read returns. */
  readonly maximumStalenessMilliseconds?: number | undefined;
  /** The time limit of one statement. */
  readonly statementMilliseconds: number;
  /** The time within which callers want a whole operation to be answered. */
  readonly objectiveMilliseconds?: number | undefined;
  /** The time without a statement after which a transaction may be ended. */
  readonly idleTransactionMilliseconds?: number | undefined;
  /** 0 is the highest priority; larger numbers are lower priorities. */
  readonly priority: number;
  /** The number of replicas that store a commit before it is acknowledged. */
  readonly synchronousReplicas?: number | undefined;
  /** Whether callers need no key although the catalogue has organisations. */
  readonly allowsAnonymous?: boolean | undefined;
}

/** One database service: its owner, importance, limits and terms. */
export interface CatalogueEntry {
  readonly name: string;
  readonly owner: string;
  readonly class: ServiceClass;
  /** The name of the database group that serves the entry. */
  readonly database: string;
  /** The number of members that the group has when it is complete. */
  readonly members: number;
  readonly limits: EntryLimits;
  /** If omitted, the entry's callers connect without a password. */
  readonly verifier?: EntryVerifier | undefined;
  /** If omitted, each session sets its own terms. */
  readonly terms?: ServiceTerms | undefined;
}

/** All entries, with a version number that increases with each change. */
export interface Catalogue {
  /**
   * Does not tell whether there is a catalogue, see {@link isStoredCatalogue}:
   * operators that choose the versions themselves may begin with 0.
   */
  readonly version: number;
  readonly entries: readonly CatalogueEntry[];
  /** Callers are identified only if there are organisations. */
  readonly organisations?: readonly Organisation[] | undefined;
  /**
   * Present if operators have stored the catalogue. Earlier versions of the
   * product did not write it, and stored no catalogue with the version 0.
   */
  readonly stored?: true | undefined;
}

/** The catalogue before operators have stored one, without entries. */
export const EMPTY_CATALOGUE: Catalogue = {version: 0, entries: []};

/** Returns whether operators have stored the catalogue. */
export function isStoredCatalogue({version, stored}: Catalogue): boolean {
  return stored === true || version > 0;
}

/**
 * Validates the entries of a catalogue that an operator sends. Returns the
 * entries, or all validation errors together.
 */
export function validateEntries(
  candidate: unknown,
): Either<readonly CatalogueValidationError[], readonly CatalogueEntry[]> {
  const result = entriesSchema.safeParse(candidate);
  if (result.success) return Right(result.data);
  return Left(toValidationErrors('entries', result.error.issues));
}

/** Entry indexes by catalogue; valid because a catalogue is immutable. */
const entryIndexCache = new WeakMap<
  Catalogue,
  ReadonlyMap<string, CatalogueEntry>
>();

/** Returns the entry with the given name, or `undefined` if there is none. */
export function findEntry(
  catalogue: Catalogue,
  name: string,
): CatalogueEntry | undefined {
  return entriesByName(catalogue).get(name);
}

function entriesByName(
  catalogue: Catalogue,
): ReadonlyMap<string, CatalogueEntry> {
  const cached = entryIndexCache.get(catalogue);
  if (cached !== undefined) return cached;
  const index = new Map(catalogue.entries.map(entry => [entry.name, entry]));
  entryIndexCache.set(catalogue, index);
  return index;
}
