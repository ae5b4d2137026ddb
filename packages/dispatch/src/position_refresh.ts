/** The shortest time after which the position of a primary is requested again. */
const MINIMUM_REFRESH_MILLISECONDS = 300;
/**
 * The longest time. A read with a staleness bound needs a sample from within its
 * bound; the usual bounds are twice this time or more.
 */
const MAXIMUM_REFRESH_MILLISECONDS = 750;
/** The requests for the position of one group that its lease holder answers. */
const REQUESTS_PER_SECOND = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/** A group that was read recently, and the age of its newest position sample. */
export interface TrackedGroup {
  readonly database: string;
  /** `Infinity` if there is no sample yet. */
  readonly sampleAgeMilliseconds: number;
}

/**
 * Returns the groups whose positions are to be requested now. It answers the
 * load of hundreds of entry VMs: all of them ask the one lease holder of each
 * group, so the requests that it answers grow with the number of VMs, and at a
 * fixed interval they would take most of its processor.
 *
 * At least one holder is asked in each of the shortest intervals, since an
 * answer is also the sign that this VM is not isolated.
 */
export function groupsToRefresh(
  groups: readonly TrackedGroup[],
  machineCount: number,
): readonly string[] {
  const interval = refreshMilliseconds(machineCount);
  const due = groups.filter(
    ({sampleAgeMilliseconds}) => sampleAgeMilliseconds >= interval,
  );
  if (due.length > 0) return due.map(({database}) => database);
  const [newest, ...others] = [...groups].sort(
    (left, right) => left.sampleAgeMilliseconds - right.sampleAgeMilliseconds,
  );
  const lastContact = newest?.sampleAgeMilliseconds ?? 0;
  if (lastContact < MINIMUM_REFRESH_MILLISECONDS) return [];
  const oldest = others.at(-1) ?? newest;
  return oldest === undefined ? [] : [oldest.database];
}

/** Returns the age from which a sample is replaced by a newer one. */
export function refreshMilliseconds(machineCount: number): number {
  const allowed =
    (machineCount * MILLISECONDS_PER_SECOND) / REQUESTS_PER_SECOND;
  return Math.min(
    MAXIMUM_REFRESH_MILLISECONDS,
    Math.max(MINIMUM_REFRESH_MILLISECONDS, allowed),
  );
}
