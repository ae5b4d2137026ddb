import {ServiceTerms} from '@apricotlock/topology';

/** Share of the time limit of a statement for which it may wait for a slot. */
const QUEUE_SHARE = 0.6;
/** Share of the time limit of an attempt for which it may wait for a slot. */
const ATTEMPT_QUEUE_SHARE = 0.6;
/** Share of the time limit of a statement for which it may wait for a failover. */
const FAILOVER_WAIT_SHARE = 0.85;
/** A primary missing for longer than this is not expected back soon. */
const LONG_OUTAGE_MILLISECONDS = 4_000;
/** When callers should retry during a failover. */
const FAILOVER_RETRY_MILLISECONDS = 150;
const LONG_OUTAGE_RETRY_MILLISECONDS = 1_000;
/** When callers of an isolated VM should retry: at once, on another VM. */
const ISOLATED_RETRY_MILLISECONDS = 20;

/** Returns how long a statement may wait for a slot, in milliseconds. */
export function queueMilliseconds(terms: ServiceTerms): number {
  return terms.statementMilliseconds * QUEUE_SHARE;
}

/**
 * Returns how long an attempt may wait for a slot, in milliseconds. The limit
 * matters if the wait in the queue is as long as the attempt: work that got its
 * slot just before the attempt times out would run without its answer being
 * used, and then run a second time on another member.
 */
export function attemptQueueMilliseconds(
  waitMilliseconds: number,
  timeoutMilliseconds: number,
): number {
  const longestWaitMilliseconds = timeoutMilliseconds * ATTEMPT_QUEUE_SHARE;
  return Math.min(waitMilliseconds, longestWaitMilliseconds);
}

/**
 * Returns how many milliseconds a statement has left until its answer misses
 * the latency objective; 0 if it is already late. The time limit serves as the
 * objective if the terms have none.
 */
export function remainingObjectiveMilliseconds(
  terms: ServiceTerms,
  elapsedMilliseconds: number,
): number {
  const {objectiveMilliseconds, statementMilliseconds} = terms;
  const effectiveObjectiveMilliseconds =
    objectiveMilliseconds ?? statementMilliseconds;
  return Math.max(
    0,
    Math.round(effectiveObjectiveMilliseconds - elapsedMilliseconds),
  );
}

/** What is known about a primary that can't be used. */
export interface PrimaryOutage {
  /** How long the primary has been unusable from this VM. */
  readonly durationMilliseconds: number;
  /** Whether this VM is isolated from the others. */
  readonly isolated: boolean;
}

/** How long to hold a statement, and when its caller should retry after that. */
export interface WaitPolicy {
  readonly holdMilliseconds: number;
  readonly retryAfterMilliseconds: number;
}

/**
 * Returns how long a statement may wait for a primary. During a failover all
 * writes of a group wait at once, for about a second. A caller that is refused
 * immediately retries too early and more than once, while one that is held is
 * served as soon as there is a primary. After a long outage it is unknown when
 * a primary will be available, so holding would only cost the caller time. On
 * an isolated VM the caller should move to another VM as soon as possible.
 */
export function failoverWaitPolicy(
  terms: ServiceTerms,
  {durationMilliseconds, isolated}: PrimaryOutage,
): WaitPolicy {
  if (isolated) {
    const retryAfterMilliseconds = ISOLATED_RETRY_MILLISECONDS;
    return {holdMilliseconds: 0, retryAfterMilliseconds};
  }
  if (durationMilliseconds > LONG_OUTAGE_MILLISECONDS) {
    const retryAfterMilliseconds = LONG_OUTAGE_RETRY_MILLISECONDS;
    return {holdMilliseconds: 0, retryAfterMilliseconds};
  }
  return {
    holdMilliseconds: terms.statementMilliseconds * FAILOVER_WAIT_SHARE,
    retryAfterMilliseconds: FAILOVER_RETRY_MILLISECONDS,
  };
}
