import {DrainLimits} from '@apricotlock/dispatch';

/**
 * The load balancer may still send callers for this long after the readiness
 * probe has begun to fail.
 */
const BALANCER_DELAY_MILLISECONDS = 2_300;
/**
 * The part of the grace period that is reserved for the last answers to arrive,
 * the notice to other VMs and the end of the process.
 */
const SHUTDOWN_RESERVE_MILLISECONDS = 700;
/** The same, at most, as a share of the grace period. */
const LARGEST_RESERVE_SHARE = 0.25;

/** When an entry VM that stops ends what, on the timer's clock. */
export interface StopSchedule extends DrainLimits {
  /** Callers are accepted until then. */
  readonly acceptsCallersUntil: number;
}

/**
 * Returns the schedule of a stop that has begun at a time and must end within
 * the grace period. Open transactions have the first half of that period, in
 * which callers may also be accepted.
 */
export function scheduleStop(
  startedAt: number,
  graceMilliseconds: number,
): StopSchedule {
  const halfMilliseconds = graceMilliseconds / 2;
  const reserveMilliseconds = Math.min(
    SHUTDOWN_RESERVE_MILLISECONDS,
    graceMilliseconds * LARGEST_RESERVE_SHARE,
  );
  return {
    acceptsCallersUntil:
      startedAt + Math.min(BALANCER_DELAY_MILLISECONDS, halfMilliseconds),
    transactionsUntil: startedAt + halfMilliseconds,
    endsAt: startedAt + graceMilliseconds - reserveMilliseconds,
    lingersUntil: startedAt + graceMilliseconds - reserveMilliseconds / 2,
  };
}
