const MINIMUM_RETRY_MILLISECONDS = 20;
const MAXIMUM_RETRY_MILLISECONDS = 10_000;

/** Why a lease did not begin; nothing was run for it. */
export type ScheduleError =
  /** The queue is full, or the wait would be or was too long. */
  | {readonly kind: 'overloaded'; readonly retryAfterMilliseconds: number}
  | {readonly kind: 'unreachable'}
  /** The catalogue that is known here has no such entry. */
  | {readonly kind: 'unknownEntry'}
  | {readonly kind: 'notOwner'}
  /** The caller went away while it waited. */
  | {readonly kind: 'abandoned'};

/** A refusal with a hint: come back once those before you are through. */
export function overloaded(expectedWaitMilliseconds: number): ScheduleError {
  const wait = Math.max(MINIMUM_RETRY_MILLISECONDS, expectedWaitMilliseconds);
  const retryAfterMilliseconds = Math.ceil(
    Math.min(MAXIMUM_RETRY_MILLISECONDS, wait),
  );
  return {kind: 'overloaded', retryAfterMilliseconds};
}
