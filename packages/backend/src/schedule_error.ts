const MINIMUM_RETRY_MILLISECONDS = 20;
const MAXIMUM_RETRY_MILLISECONDS = 10_000;

/** Why a lease did not start. No statement was run. */
export type ScheduleError =
  /** The queue is full, or the expected or actual wait is too long. */
  | {readonly kind: 'overloaded'; readonly retryAfterMilliseconds: number}
  /** No connection to the member is open and none can be opened. */
  | {readonly kind: 'unreachable'}
  /** This VM's version of the catalogue does not contain the entry. */
  | {readonly kind: 'unknownEntry'}
  /** This VM no longer owns the member. */
  | {readonly kind: 'notOwner'}
  /** The lease client cancelled or disconnected while the request waited. */
  | {readonly kind: 'abandoned'};

/**
 * Creates an overload refusal. It suggests to retry after the expected wait,
 * when the requests that are queued now should have been served.
 */
export function createOverloadedError(
  expectedWaitMilliseconds: number,
): ScheduleError {
  const wait = Math.max(MINIMUM_RETRY_MILLISECONDS, expectedWaitMilliseconds);
  const retryAfterMilliseconds = Math.ceil(
    Math.min(MAXIMUM_RETRY_MILLISECONDS, wait),
  );
  return {kind: 'overloaded', retryAfterMilliseconds};
}
