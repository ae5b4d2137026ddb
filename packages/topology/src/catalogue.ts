import {z} from 'zod';
import {Either, Left, Right} from 'purify-ts';

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,252}$/;
const MAXIMUM_MILLISECONDS = 3_600_000;
const LOWEST_PRIORITY = 1_000;
const MAXIMUM_MEMBERS = 9;
const MAXIMUM_ENTRIES = 20_000;
const MAXIMUM_CONNECTIONS = 10_000;
const MAXIMUM_QUEUE_LENGTH = 1_000_000;
const MAXIMUM_QUEUE_MILLISECONDS = 600_000;

const nameSchema = z
  .string()
  .regex(
    NAME_PATTERN,
    'a name is letters, digits, dots, underscores and hyphens',
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

const milliseconds = z.number().min(0).max(MAXIMUM_MILLISECONDS);

const termsSchema = z.strictObject({
  consistency: z.enum(['primary', 'boundedStaleness', 'readYourWrites']),
  maximumStalenessMilliseconds: milliseconds.optional(),
  statementMilliseconds: milliseconds,
  objectiveMilliseconds: milliseconds.optional(),
  idleTransactionMilliseconds: milliseconds.optional(),
  priority: z.int().min(0).max(LOWEST_PRIORITY),
  synchronousReplicas: z.int().min(0).max(MAXIMUM_MEMBERS).optional(),
});

/** Checks one entry. */
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
          message: `the name "${entry.name}" stands twice`,
        });
      }
      seen.add(entry.name);
    });
  });

/** How much an entry's work matters when not all of it can be done. */
export type ServiceClass = 'critical' | 'standard' | 'background';

/** What one entry may use of each member of its database group. */
export interface EntryLimits {
  /** Open connections to a member at most. */
  readonly connections: number;
  /** Statements that a member runs for the entry at once at most. */
  readonly slots: number;
  /** Statements that wait for a connection at most. */
  readonly queueLength: number;
  /** How long a statement waits for a connection at most, in milliseconds. */
  readonly queueMilliseconds: number;
}

/** What is kept of an entry's password (RFC 7677); binary values in base64. */
export interface EntryVerifier {
  readonly salt: string;
  readonly iterations: number;
  readonly storedKey: string;
  readonly serverKey: string;
}

/** What reads of an entry's callers have to show. */
export type Consistency =
  /** Every write that was acknowledged before the read began. */
  | 'primary'
  /** Every write acknowledged longer ago than the maximum staleness. */
  | 'boundedStaleness'
  /** The same, and all that the session itself wrote. */
  | 'readYourWrites';

/** What an entry's callers are promised for each statement. */
export interface ServiceTerms {
  readonly consistency: Consistency;
  /** How old what a read shows may be. */
  readonly maximumStalenessMilliseconds?: number | undefined;
  /** How long one statement may take. */
  readonly statementMilliseconds: number;
  /** Within what time callers want a whole operation answered. */
  readonly objectiveMilliseconds?: number | undefined;
  /** After how long without a statement a transaction may be ended. */
  readonly idleTransactionMilliseconds?: number | undefined;
  /** 0 goes before all others. */
  readonly priority: number;
  /** How many replicas hold a commit before it is acknowledged. */
  readonly synchronousReplicas?: number | undefined;
}

/** One database service: who owns it, how much it matters, what it may use. */
export interface CatalogueEntry {
  readonly name: string;
  readonly owner: string;
  readonly class: ServiceClass;
  /** The database group that serves it. */
  readonly database: string;
  /** How many members the group has when it is whole. */
  readonly members: number;
  readonly limits: EntryLimits;
  /** Without one, the entry's callers need no password. */
  readonly verifier?: EntryVerifier | undefined;
  /** Without them, sessions state what they want themselves. */
  readonly terms?: ServiceTerms | undefined;
}

/** All entries, under one version that only goes up. */
export interface Catalogue {
  readonly version: number;
  readonly entries: readonly CatalogueEntry[];
}

/** The catalogue before the first change. */
export const EMPTY_CATALOGUE: Catalogue = {version: 0, entries: []};

/** One thing that is wrong with a catalogue, and where. */
export interface CatalogueFault {
  /** Such as `entries[2].limits.slots`. */
  readonly path: string;
  readonly message: string;
}

/** Checks entries from outside; every fault is named at once. */
export function checkEntries(
  candidate: unknown,
): Either<readonly CatalogueFault[], readonly CatalogueEntry[]> {
  const result = entriesSchema.safeParse(candidate);
  if (result.success) return Right(result.data);
  return Left(
    result.error.issues.map(issue => ({
      path: pathText(issue.path),
      message: issue.message,
    })),
  );
}

/** Entries by name; a catalogue never changes once it is made. */
const indexes = new WeakMap<Catalogue, ReadonlyMap<string, CatalogueEntry>>();

/** The entry with this name. */
export function findEntry(
  catalogue: Catalogue,
  name: string,
): CatalogueEntry | undefined {
  return indexOf(catalogue).get(name);
}

function indexOf(catalogue: Catalogue): ReadonlyMap<string, CatalogueEntry> {
  const known = indexes.get(catalogue);
  if (known !== undefined) return known;
  const index = new Map(catalogue.entries.map(entry => [entry.name, entry]));
  indexes.set(catalogue, index);
  return index;
}

function pathText(path: readonly PropertyKey[]): string {
  const parts = path.map(part =>
    typeof part === 'number' ? `[${part}]` : `.${String(part)}`,
  );
  return `entries${parts.join('')}`;
}
