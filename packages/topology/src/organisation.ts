import {createHash} from 'node:crypto';
import {z} from 'zod';

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,252}$/;
const LOWEST_PRIORITY = 1_000;
const MAXIMUM_KEYS = 1_000;
/**
 * A key is one word of ASCII: on a wire that carries bytes, other characters
 * would have no agreed digest.
 */
const KEY_PATTERN = /^[\x21-\x7e]{1,1000}$/;
const MAXIMUM_RATE = 10_000_000;
/** The characters of a SHA-256 digest in base64url without padding. */
const DIGEST_PATTERN = /^[A-Za-z0-9_-]{43}$/;

/** The rate limit of an organisation, over all VMs together. */
export interface Quota {
  /** The sustained rate; an operation is a statement or a transaction. */
  readonly operationsPerSecond: number;
  /** How many operations may run at once after a time without any. */
  readonly burst: number;
}

/** A customer whose callers are identified by keys. */
export interface Organisation {
  readonly name: string;
  /** Digests of its keys, see {@link digestOfKey}; the keys are not stored. */
  readonly keyDigests: readonly string[];
  /** 0 is the highest priority; larger numbers are lower priorities. */
  readonly priority: number;
  /** If omitted, the number of operations is not limited. */
  readonly quota?: Quota | undefined;
}

/**
 * The schema of an organisation in the catalogue; unknown fields are errors.
 */
export const organisationSchema = z.strictObject({
  name: z.string().regex(NAME_PATTERN),
  keyDigests: z.array(z.string().regex(DIGEST_PATTERN)).max(MAXIMUM_KEYS),
  priority: z.int().min(0).max(LOWEST_PRIORITY),
  quota: z
    .strictObject({
      operationsPerSecond: z.number().min(0).max(MAXIMUM_RATE),
      burst: z.number().min(0).max(MAXIMUM_RATE),
    })
    .optional(),
});

/** The schema of the keys of one organisation; its messages repeat no key. */
export const keysSchema = z
  .array(z.string().regex(KEY_PATTERN, 'not a valid key'))
  .max(MAXIMUM_KEYS);

/** Returns the SHA-256 digest of a key in base64url. */
export function digestOfKey(key: string): string {
  return createHash('sha256').update(key).digest('base64url');
}
