import {Quota} from '@apricotlock/topology';
import {HoldingReport, Holdings} from './holdings.js';
import {bucketCapacity, unusedLimit} from './quota_limits.js';
import {GrantAnswer} from './quota_messages.js';
import {RecentMachines} from './recent_machines.js';
import {ShortMachines} from './short_machines.js';
import {TokenBucket} from './token_bucket.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** The longest time that an answer states. */
const MAXIMUM_ROOM_MILLISECONDS = 30_000;
/** Shorter intervals keep their fraction. */
const WHOLE_INTERVAL_MILLISECONDS = 10;

/**
 * The bucket of one organisation at its coordinator, with what VMs hold of it.
 * Times are those of the coordinator's fill clock.
 *
 * Load: one `grant` for each organisation in a grant request.
 */
export class OrganisationBucket {
  private readonly holdings = Holdings.create();
  private readonly recentMachines = RecentMachines.create();
  private readonly shortMachines = ShortMachines.create();

  private constructor(
    private quota: Quota,
    private readonly bucket: TokenBucket,
  ) {}

  /**
   * Creates the bucket of a coordinator that has filled buckets for the given
   * time; the time is negative if it may have a predecessor that has not
   * stopped.
   */
  static create(
    quota: Quota,
    now: number,
    filledMilliseconds: number,
    share: number,
  ): OrganisationBucket {
    const perMillisecond = fillRate(quota, share) / MILLISECONDS_PER_SECOND;
    const yielded = perMillisecond * Math.max(0, filledMilliseconds);
    const level = Math.min(Math.max(1, quota.burst), yielded);
    return new OrganisationBucket(quota, TokenBucket.create(level, now));
  }

  /** Whether the bucket may be dropped, since a new one would begin as full. */
  isFull(now: number, share: number): boolean {
    this.fill(now, share);
    const capacity = bucketCapacity(shareOf(this.quota, share));
    return this.holdings.total === 0 && this.bucket.level >= capacity;
  }

  /** Adds what the rate has yielded, with the share that applied since then. */
  fill(now: number, share: number): void {
    this.holdings.expire(now);
    const quota = shareOf(this.quota, share);
    const capacity = bucketCapacity(quota);
    const limit = Math.min(capacity, unusedLimit(quota) - this.holdings.total);
    this.bucket.fill(now, quota.operationsPerSecond, limit);
    // A share that has become smaller is one of which another VM has the rest.
    this.bucket.cut(capacity);
  }

  /** Applies a changed quota; the bucket must have been filled up to now. */
  setQuota(quota: Quota): void {
    if (quota === this.quota) return;
    this.quota = quota;
    this.bucket.cut(bucketCapacity(quota));
  }

  /**
   * Grants operations; the bucket must be filled up to now. Operations that are
   * not needed yet are taken from half of the bucket only, so that callers on
   * other VMs are not refused for them.
   */
  grant(
    report: HoldingReport,
    {needed, wanted}: {readonly needed: number; readonly wanted: number},
    now: number,
    share: number,
  ): GrantAnswer {
    this.recentMachines.record(report.machine, now);
    this.bucket.putBack(this.holdings.report(report, now));
    const hasRoom = this.bucket.level >= 1;
    const spare = Math.floor(this.bucket.level / 2);
    const granted = this.bucket.take(Math.min(wanted, Math.max(needed, spare)));
    this.holdings.add(report, granted, now);
    if (granted > 0) this.shortMachines.remove(report.machine);
    if (granted >= needed && hasRoom) return [granted];
    const ahead = this.shortMachines.place(report.machine, now);
    const perMillisecond =
      fillRate(this.quota, share) / MILLISECONDS_PER_SECOND;
    const missing = Math.max(0, 1 - this.bucket.level) + ahead;
    const room = limitRoom(missing / perMillisecond);
    const interval = limitRoom(this.recentMachines.count / perMillisecond);
    return [granted, Math.ceil(room), roundInterval(interval)];
  }
}

/** Returns the part of a quota that one side of a partition may use. */
function shareOf({operationsPerSecond, burst}: Quota, share: number): Quota {
  return {
    operationsPerSecond: operationsPerSecond * share,
    burst: burst * share,
  };
}

function fillRate({operationsPerSecond}: Quota, share: number): number {
  return operationsPerSecond * share;
}

/**
 * Limits a time; it is not a number if nothing is missing and the rate is 0.
 */
function limitRoom(milliseconds: number): number {
  if (Number.isNaN(milliseconds)) return MAXIMUM_ROOM_MILLISECONDS;
  return Math.min(milliseconds, MAXIMUM_ROOM_MILLISECONDS);
}

/** Whole numbers take one to three bytes in a message, fractions nine. */
function roundInterval(milliseconds: number): number {
  const isLong = milliseconds >= WHOLE_INTERVAL_MILLISECONDS;
  return isLong ? Math.ceil(milliseconds) : milliseconds;
}
