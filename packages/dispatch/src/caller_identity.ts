import {Catalogue, CatalogueEntry, Organisation} from '@apricotlock/topology';

/** For whom a caller's statements are run. */
export type CallerIdentity =
  /** For no organisation: none is known, or the entry requires none. */
  | {readonly kind: 'anonymous'}
  | {readonly kind: 'organisation'; readonly organisation: Organisation}
  /** The entry requires a key, and the caller's is not valid. */
  | {readonly kind: 'unauthenticated'};

const ANONYMOUS: CallerIdentity = {kind: 'anonymous'};
const UNAUTHENTICATED: CallerIdentity = {kind: 'unauthenticated'};
const NO_DIGESTS: ReadonlyMap<string, Organisation> = new Map();

/**
 * Digest maps by list of organisations; valid because lists are immutable. The
 * list remains the same object in all views between which it did not change.
 */
const digestMapCache = new WeakMap<
  readonly Organisation[],
  ReadonlyMap<string, Organisation>
>();

/**
 * Identifies a caller of an entry by the digest of its key. As digests are
 * looked up instead of keys, the time does not depend on the characters of a
 * key.
 */
export function identifyCaller(
  catalogue: Catalogue,
  entry: CatalogueEntry | undefined,
  digest: string | undefined,
): CallerIdentity {
  const organisations = organisationsByDigest(catalogue);
  if (!identifiesCallers(catalogue)) return ANONYMOUS;
  const organisation =
    digest === undefined ? undefined : organisations.get(digest);
  if (organisation !== undefined) return {kind: 'organisation', organisation};
  return entry?.terms?.allowsAnonymous === true ? ANONYMOUS : UNAUTHENTICATED;
}

/** Returns the organisations by the digests of their keys. */
export function organisationsByDigest({
  organisations,
}: Catalogue): ReadonlyMap<string, Organisation> {
  if (organisations === undefined) return NO_DIGESTS;
  const cached = digestMapCache.get(organisations);
  if (cached !== undefined) return cached;
  const byDigest = new Map(
    organisations.flatMap(organisation =>
      organisation.keyDigests.map(digest => [digest, organisation] as const),
    ),
  );
  digestMapCache.set(organisations, byDigest);
  return byDigest;
}

/** Returns whether callers belong to organisations. */
export function identifiesCallers({organisations}: Catalogue): boolean {
  return organisations !== undefined && organisations.length > 0;
}
