/** The pause after the first failed attempt. */
const FIRST_PAUSE_MILLISECONDS = 15;
const LONGEST_PAUSE_MILLISECONDS = 60;
const PAUSE_GROWTH_FACTOR = 1.5;
/**
 * A full queue is retried after this fraction of its announced wait, by which
 * time it should be shorter.
 */
const QUEUE_WAIT_FRACTION = 0.5;
const LONGEST_QUEUE_PAUSE_MILLISECONDS = 150;

/** The last failed attempts of a statement. */
export interface FailedAttempts {
  /** How many attempts in a row have failed. */
  readonly attempts: number;
  /**
   * The shortest wait announced by a member with a full queue, in
   * milliseconds; `undefined` if no queue was full.
   */
  readonly expectedWaitMilliseconds: number | undefined;
}

/**
 * Returns how long a statement pauses before its next attempt, in milliseconds.
 * Without pauses, in the first seconds after an outage all waiting statements
 * would retry the same few members in a tight loop and use up the processor
 * time needed to serve them.
 */
export function retryPause({
  attempts,
  expectedWaitMilliseconds,
}: FailedAttempts): number {
  if (expectedWaitMilliseconds !== undefined) {
    const pause = expectedWaitMilliseconds * QUEUE_WAIT_FRACTION;
    return clamp(
      FIRST_PAUSE_MILLISECONDS,
      pause,
      LONGEST_QUEUE_PAUSE_MILLISECONDS,
    );
  }
  const pause =
    FIRST_PAUSE_MILLISECONDS * PAUSE_GROWTH_FACTOR ** (attempts - 1);
  return clamp(FIRST_PAUSE_MILLISECONDS, pause, LONGEST_PAUSE_MILLISECONDS);
}

function clamp(least: number, value: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
