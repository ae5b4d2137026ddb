import {ServiceTerms} from '@apricotlock/topology';

/** How much of a statement's time may be spent waiting for a slot. */
const QUEUE_SHARE = 0.6;
/** How much of it may be spent waiting for a primary to be appointed. */
const APPOINTMENT_SHARE = 0.85;
/** A primary that is missing for so long is not expected back at once. */
const LONG_MISSING_MILLISECONDS = 4_000;
/** When to come back while a primary is being appointed. */
const APPOINTMENT_RETRY_MILLISECONDS = 150;
const LONG_MISSING_RETRY_MILLISECONDS = 1_000;

/** How long work of these terms may wait for a slot, in milliseconds. */
export function queueMilliseconds(terms: ServiceTerms): number {
  const {objectiveMilliseconds, statementMilliseconds} = terms;
  const limit = statementMilliseconds * QUEUE_SHARE;
  return Math.min(limit, Math.max(objectiveMilliseconds ?? limit, limit / 2));
}

/** How long to hold work, and what to say if that was in vain. */
export interface Patience {
  readonly holdMilliseconds: number;
  readonly retryAfterMilliseconds: number;
}

/**
 * How long work may wait for a primary. The load it answers: every write of a
 * group at once, for the second or so that an appointment takes. A caller that
 * is refused at once comes back too early, and more than once; one that is
 * held is served as soon as there is a primary. If none has come for long,
 * nothing is known of when it will, and holding would only cost the caller its
 * time.
 */
export function appointmentPatience(
  terms: ServiceTerms,
  missingMilliseconds: number,
): Patience {
  if (missingMilliseconds > LONG_MISSING_MILLISECONDS) {
    const retryAfterMilliseconds = LONG_MISSING_RETRY_MILLISECONDS;
    return {holdMilliseconds: 0, retryAfterMilliseconds};
  }
  return {
    holdMilliseconds: terms.statementMilliseconds * APPOINTMENT_SHARE,
    retryAfterMilliseconds: APPOINTMENT_RETRY_MILLISECONDS,
  };
}
