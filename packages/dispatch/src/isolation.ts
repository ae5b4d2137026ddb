/** A VM whose view nobody has confirmed for so long may be cut off. */
const STALE_VIEW_MILLISECONDS = 900;
/** The same for what the holders of primaries say. */
const STALE_EVIDENCE_MILLISECONDS = 500;
/** Probes without success after which the balancer sends callers elsewhere. */
const PROBES_TO_LEAVE = 2;

/** What a VM knows of its own connection to the rest of the system. */
export interface Contact {
  /** How long ago its view was surely the newest one. */
  readonly viewAgeMilliseconds: number;
  /** How long ago the holder of any primary answered. */
  readonly evidenceAgeMilliseconds: number;
}

/**
 * Whether a VM is cut off from the rest of the system, so that callers are
 * better served by others. The load it answers: a whole data centre that is
 * partitioned from the others, with callers that still reach its VMs. One
 * missing primary, or control VMs that are all down, is no reason: other VMs
 * would do no better.
 */
export function isCutOff({
  viewAgeMilliseconds,
  evidenceAgeMilliseconds,
}: Contact): boolean {
  return (
    viewAgeMilliseconds > STALE_VIEW_MILLISECONDS &&
    evidenceAgeMilliseconds > STALE_EVIDENCE_MILLISECONDS
  );
}

/**
 * Whether idle sessions are to be closed, so that their callers connect
 * elsewhere: only once the balancer sends them elsewhere, and not back. It
 * does so after the second probe in a row that is answered in the negative.
 */
export function shouldCloseIdle(negativeProbes: number): boolean {
  return negativeProbes >= PROBES_TO_LEAVE;
}
