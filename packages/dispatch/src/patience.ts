import {ServiceTerms} from '@apricotlock/topology';

/** How much of a statement's time may be spent waiting for a slot. */
const QUEUE_SHARE = 0.6;
/** The same for one attempt of it. */
const ATTEMPT_QUEUE_SHARE = 0.6;
/** How much of it may be spent waiting for a primary to be appointed. */
const APPOINTMENT_SHARE = 0.85;
/** A primary that is missing for so long is not expected back at once. */
const LONG_MISSING_MILLISECONDS = 4_000;
/** When to come back while a primary is being appointed. */
const APPOINTMENT_RETRY_MILLISECONDS = 150;
const LONG_MISSING_RETRY_MILLISECONDS = 1_000;
/** When to come back to a VM that is cut off: at once, for another one. */
const CUT_OFF_RETRY_MILLISECONDS = 20;

/** How long work of these terms may wait for a slot, in milliseconds. */
export function queueMilliseconds(terms: ServiceTerms): number {
  return terms.statementMilliseconds * QUEUE_SHARE;
}

/**
 * How long an attempt may wait for a slot, in milliseconds. The load it
 * answers: queues as long as an attempt. Work that got its slot just before
 * the attempt is given up would run for nobody, and once more elsewhere.
 */
export function attemptQueueMilliseconds(
  waitMilliseconds: number,
  timeoutMilliseconds: number,
): number {
  const longest = timeoutMilliseconds * ATTEMPT_QUEUE_SHARE;
  return Math.min(waitMilliseconds, longest);
}

/**
 * How long work that is so old has until its answer is late, in milliseconds;
 * 0 if it is late already. Without an objective the time limit is one.
 */
export function objectiveLeft(terms: ServiceTerms, spent: number): number {
  const {objectiveMilliseconds, statementMilliseconds} = terms;
  const objective = objectiveMilliseconds ?? statementMilliseconds;
  return Math.max(0, Math.round(objective - spent));
}

/** What is known of why a primary can't be used. */
export interface Missing {
  /** For how long it could not be used from here. */
  readonly milliseconds: number;
  /** Whether this VM is cut off from the others. */
  readonly cutOff: boolean;
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
 * time. On a VM that is cut off, the sooner the caller goes elsewhere the better.
 */
export function appointmentPatience(
  terms: ServiceTerms,
  {milliseconds, cutOff}: Missing,
): Patience {
  if (cutOff) {
    const retryAfterMilliseconds = CUT_OFF_RETRY_MILLISECONDS;
    return {holdMilliseconds: 0, retryAfterMilliseconds};
  }
  if (milliseconds > LONG_MISSING_MILLISECONDS) {
    const retryAfterMilliseconds = LONG_MISSING_RETRY_MILLISECONDS;
    return {holdMilliseconds: 0, retryAfterMilliseconds};
  }
  return {
    holdMilliseconds: terms.statementMilliseconds * APPOINTMENT_SHARE,
    retryAfterMilliseconds: APPOINTMENT_RETRY_MILLISECONDS,
  };
}
