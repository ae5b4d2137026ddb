/** The first pause before a member is asked again, in milliseconds. */
const FIRST_PAUSE_MILLISECONDS = 15;
const LONGEST_PAUSE_MILLISECONDS = 60;
const GROWTH = 1.5;
/** A queue is asked again when it should have come down to this part. */
const QUEUE_PART = 0.5;
const LONGEST_QUEUE_PAUSE_MILLISECONDS = 150;

/** What the last attempts of a statement came to. */
export interface Setback {
  /** How many attempts in a row have failed. */
  readonly attempts: number;
  /**
   * The shortest wait that a member with a full queue has announced, in
   * milliseconds; `undefined` if none was full.
   */
  readonly expectedWaitMilliseconds: number | undefined;
}

/**
 * How long a statement pauses before its next attempt, in milliseconds. The
 * load it answers: the first seconds after an outage, when everything that
 * waits would ask for the same few members in a tight loop and take the
 * processor time that serving it needs.
 */
export function retryPause({
  attempts,
  expectedWaitMilliseconds,
}: Setback): number {
  if (expectedWaitMilliseconds !== undefined) {
    const pause = expectedWaitMilliseconds * QUEUE_PART;
    return within(
      FIRST_PAUSE_MILLISECONDS,
      pause,
      LONGEST_QUEUE_PAUSE_MILLISECONDS,
    );
  }
  const pause = FIRST_PAUSE_MILLISECONDS * GROWTH ** (attempts - 1);
  return within(FIRST_PAUSE_MILLISECONDS, pause, LONGEST_PAUSE_MILLISECONDS);
}

function within(least: number, value: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
