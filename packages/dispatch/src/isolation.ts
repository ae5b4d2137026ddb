/**
 * A VM whose view has been unconfirmed for longer than this may be isolated. An
 * election of a control leader normally takes less time.
 */
const STALE_VIEW_MILLISECONDS = 900;
/** A VM that no lease holder has answered for longer than this may be isolated. */
const STALE_PRIMARY_CONTACT_MILLISECONDS = 500;
/** Consecutive failed probes after which the balancer stops sending callers. */
const FAILED_PROBES_THRESHOLD = 2;

/** What a VM knows about its connection to the rest of the system. */
export interface Connectivity {
  /** Time since its view was last known to be the newest one. */
  readonly viewAgeMilliseconds: number;
  /** Time since the lease holder of any primary answered. */
  readonly primaryContactAgeMilliseconds: number;
}

/**
 * Returns whether a VM is isolated from the rest of the system, so that other
 * VMs can serve its callers better. This covers a whole data centre that is
 * partitioned from the others while callers still reach its VMs. Both values
 * must be stale: if a primary is missing or all control VMs are down, other
 * VMs are affected in the same way.
 */
export function isIsolated({
  viewAgeMilliseconds,
  primaryContactAgeMilliseconds,
}: Connectivity): boolean {
  return (
    viewAgeMilliseconds > STALE_VIEW_MILLISECONDS &&
    primaryContactAgeMilliseconds > STALE_PRIMARY_CONTACT_MILLISECONDS
  );
}

/**
 * Returns whether idle sessions should be closed, so that their callers connect
 * to another VM. This is safe only once the balancer no longer sends them back
 * here, which is after two consecutive failed probes.
 */
export function shouldCloseIdle(failedProbes: number): boolean {
  return failedProbes >= FAILED_PROBES_THRESHOLD;
}
