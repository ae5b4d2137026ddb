import {Quota} from '@apricotlock/topology';

/** Validity of a granted operation, counted from the request for it. */
export const GRANT_VALIDITY_MILLISECONDS = 400;
/**
 * The part of a second's rate that may be granted and unused, or in the bucket,
 * beyond the burst. A lone VM holds the demand of 200 ms and asks every 100 ms.
 */
const UNUSED_RATE_SECONDS = 0.3;
/**
 * A second of low rates may collect in the bucket, up to this many operations,
 * because a VM that is short of them asks again after up to 1 s.
 */
const COLLECTED_OPERATIONS = 5;
/**
 * Operations that may be outstanding in addition. Without them, the random
 * arrival of requests delays filling at rates of a few operations per second.
 */
const OUTSTANDING_OPERATIONS = 5;

/**
 * Returns the highest level of an organisation's bucket. It is at least one
 * operation, because a bucket that holds less never grants any.
 */
export function bucketCapacity({operationsPerSecond, burst}: Quota): number {
  if (operationsPerSecond === 0) return burst;
  const collected = Math.min(COLLECTED_OPERATIONS, operationsPerSecond);
  const unused = UNUSED_RATE_SECONDS * operationsPerSecond;
  return Math.max(1, burst) + collected + unused;
}

/**
 * Returns the largest sum of a bucket's level and the granted operations that
 * may still be used. The operations of any 5 s are at most this sum at their
 * beginning and 5 s of the rate: b + 5.3 r + 11, within the stated bound of
 * 1.1 (b + 5 r) + 20.
 */
export function unusedLimit(quota: Quota): number {
  return bucketCapacity(quota) + OUTSTANDING_OPERATIONS;
}
