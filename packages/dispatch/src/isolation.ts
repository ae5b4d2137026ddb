/**
 * A VM whose view has been unconfirmed for longer than this may be isolated. An
 * election of a control leader normally takes less time.
 */
const STALE_VIEW_MILLISECONDS = 900;
/** A VM that no lease holder has answered for longer than this may be isolated. */
const STALE_PRIMARY_CONTACT_MILLISECONDS = 500;
/**
 * From these ages on, other entry VMs are pinged, so that it is known whether
 * they answer when both ages are stale. They are rare in normal operation, since
 * pings of many VMs open as many links.
 */
const DOUBTFUL_VIEW_MILLISECONDS = 800;
const DOUBTFUL_PRIMARY_CONTACT_MILLISECONDS = 400;
/**
 * A VM with a younger view has just heard from control. Membership takes longer
 * than this to consider a VM dead that is cut off.
 */
const FRESH_VIEW_MILLISECONDS = 400;
/** Consecutive failed probes after which the balancer stops sending callers. */
const FAILED_PROBES_THRESHOLD = 2;

/** What a VM knows about its connection to the rest of the system. */
export interface Connectivity {
  /** Time since its view was last known to be the newest one. */
  readonly viewAgeMilliseconds: number;
  /** Time since the lease holder of any primary answered. */
  readonly primaryContactAgeMilliseconds: number;
  /** Whether an entry VM that was known before does not answer any more. */
  readonly hasLostPeer: boolean;
}

/** The ages in {@link Connectivity}. */
export type ContactAges = Omit<Connectivity, 'hasLostPeer'>;

/** Returns whether control was heard so recently that it was within reach. */
export function isViewFresh({viewAgeMilliseconds}: ContactAges): boolean {
  return viewAgeMilliseconds <= FRESH_VIEW_MILLISECONDS;
}

/** Returns whether it is to be found out which other entry VMs answer. */
export function isContactDoubtful({
  viewAgeMilliseconds,
  primaryContactAgeMilliseconds,
}: ContactAges): boolean {
  return (
    viewAgeMilliseconds > DOUBTFUL_VIEW_MILLISECONDS &&
    primaryContactAgeMilliseconds > DOUBTFUL_PRIMARY_CONTACT_MILLISECONDS
  );
}

/**
 * Returns whether a VM is isolated from the rest of the system, so that other
 * VMs can serve its callers better. This covers a whole data centre that is
 * partitioned from the others while callers still reach its VMs. Both ages must
 * be stale: if only a primary is missing, other VMs are affected in the same
 * way. So they are if all control VMs are lost, which is the case if every
 * other entry VM still answers.
 */
export function isIsolated(connectivity: Connectivity): boolean {
  return (
    isViewStale(connectivity) &&
    isOutOfPrimaryContact(connectivity) &&
    connectivity.hasLostPeer
  );
}

/**
 * Returns whether an isolated VM can serve callers again. After a partition has
 * healed, a view may arrive seconds before the links to lease holders work.
 */
export function isReconnected(connectivity: ContactAges): boolean {
  return !isViewStale(connectivity) && !isOutOfPrimaryContact(connectivity);
}

/** Returns whether a view has been unconfirmed for unusually long. */
export function isViewStale({viewAgeMilliseconds}: ContactAges): boolean {
  return viewAgeMilliseconds > STALE_VIEW_MILLISECONDS;
}

function isOutOfPrimaryContact({
  primaryContactAgeMilliseconds,
}: ContactAges): boolean {
  return primaryContactAgeMilliseconds > STALE_PRIMARY_CONTACT_MILLISECONDS;
}

/**
 * Returns whether idle sessions should be closed, so that their callers connect
 * to another VM. This is safe only once the balancer no longer sends them back
 * here, which is after two consecutive failed probes.
 */
export function shouldCloseIdle(failedProbes: number): boolean {
  return failedProbes >= FAILED_PROBES_THRESHOLD;
}
