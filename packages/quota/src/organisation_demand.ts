import {Quota} from '@apricotlock/topology';
import {Allowance} from './allowance.js';
import {DemandEstimate} from './demand_estimate.js';
import {GrantItem} from './quota_messages.js';
import {QuotaDecision} from './operation_quota.js';
import {RecentUse} from './recent_use.js';
import {Reserve} from './reserve.js';
import {RetrySchedule} from './retry_schedule.js';

/** A request asks for the demand that is expected within this time. */
const HORIZON_MILLISECONDS = 200;
/** More is requested when the allowance covers less than this time. */
const PREFETCH_MILLISECONDS = 100;
/**
 * After an answer that granted too little, no request is sent for at least this
 * time, which bounds the messages of an organisation over its limit to 50 per
 * second for each VM.
 */
const MINIMUM_PAUSE_MILLISECONDS = 20;
const MAXIMUM_PAUSE_MILLISECONDS = 1_000;

/** An operation that waits for an answer. */
export interface WaitingOperation {
  readonly decide: (decision: QuotaDecision) => void;
}

/**
 * What a VM knows of one organisation that its callers belong to: its demand,
 * its allowance and its waiting operations. It has no input or output.
 *
 * Load: a few calls for each operation of an organisation with a quota.
 */
export class OrganisationDemand {
  readonly allowance = Allowance.create();
  readonly reserve = Reserve.create();
  readonly recentUse = RecentUse.create();
  readonly retries = RetrySchedule.create();
  readonly waiting: WaitingOperation[] = [];
  /** Requests that may still be answered. */
  outstanding = 0;
  /** The sequence number of the last request. */
  sequence = 0;
  /** When the unanswered request was sent, until it may be sent again. */
  inFlightSince: number | undefined;
  /** When the last request was sent to a VM that is not the coordinator. */
  misdirectedAt: number | undefined;
  lastUsedAt = 0;
  private readonly demand: DemandEstimate;
  private pausedUntil = -Infinity;

  private constructor(
    readonly name: string,
    readonly shard: number,
    /** The newest known quota. */
    public quota: Quota,
    now: number,
  ) {
    this.demand = DemandEstimate.create(now);
  }

  /** Creates the state of an organisation without demand. */
  static create(
    name: string,
    shard: number,
    quota: Quota,
    now: number,
  ): OrganisationDemand {
    return new OrganisationDemand(name, shard, quota, now);
  }

  /** Records that an operation is about to run. */
  record(now: number): void {
    this.lastUsedAt = now;
    this.demand.record(now);
  }

  /** Whether the bucket is known to have no room. */
  isPaused(now: number): boolean {
    return now < this.pausedUntil;
  }

  /** Whether the allowance is nearly used up by steady demand. */
  wantsPrefetch(now: number): boolean {
    return (
      this.inFlightSince === undefined &&
      !this.isPaused(now) &&
      this.demand.expectedWithin(HORIZON_MILLISECONDS) >= 1 &&
      this.allowance.held(now) <=
        this.demand.expectedWithin(PREFETCH_MILLISECONDS)
    );
  }

  /** Whether nothing is lost by dropping this state. */
  isIdle(now: number, milliseconds: number): boolean {
    return (
      this.outstanding === 0 &&
      this.waiting.length === 0 &&
      now - this.lastUsedAt > milliseconds
    );
  }

  /** Begins a request, and returns it. */
  startRequest(now: number): GrantItem {
    const isRetry = this.outstanding > 0 ? 1 : 0;
    const held = this.allowance.held(now);
    const expected = Math.floor(
      this.demand.expectedWithin(HORIZON_MILLISECONDS),
    );
    const needed = this.waiting.length;
    const wanted = Math.max(1, needed, expected - held);
    this.inFlightSince = now;
    this.outstanding++;
    this.sequence++;
    const returned = this.allowance.takeExpired(now);
    const {name, sequence} = this;
    return [name, needed, wanted, held, returned, sequence, isRetry];
  }

  /** Applies that the bucket has no room for some time. */
  pause(now: number, roomAfter: number, interval: number): void {
    this.recentUse.recordShortage(now);
    const pause = Math.max(MINIMUM_PAUSE_MILLISECONDS, roomAfter);
    this.pausedUntil = now + Math.min(pause, MAXIMUM_PAUSE_MILLISECONDS);
    this.retries.update(now + pause, interval);
  }
}
