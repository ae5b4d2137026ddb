import {Catalogue, Quota} from '@apricotlock/topology';

type QuotaByName = ReadonlyMap<string, Quota | undefined>;

/** Indexes by catalogue; valid because a catalogue is immutable. */
const quotaIndexCache = new WeakMap<Catalogue, QuotaByName>();

/**
 * Returns the quotas of a catalogue's organisations by name. The value is
 * `undefined` for an organisation without a quota.
 */
export function quotasOf(catalogue: Catalogue): QuotaByName {
  const cached = quotaIndexCache.get(catalogue);
  if (cached !== undefined) return cached;
  const index = new Map(
    (catalogue.organisations ?? []).map(({name, quota}) => [name, quota]),
  );
  quotaIndexCache.set(catalogue, index);
  return index;
}
