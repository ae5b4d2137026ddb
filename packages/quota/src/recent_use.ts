/** The rate is the mean of this period before an outage. */
const PERIOD_SECONDS = 5;
const MILLISECONDS_PER_SECOND = 1_000;
/** A coordinator that died is replaced within 6 s, with 3 s to take over. */
const MAXIMUM_OUTAGE_MILLISECONDS = 10_000;
/**
 * The credit of an organisation with few operations. More would let many VMs
 * run it at once when its demand jumps, and each lost message begins an outage.
 */
const MINIMUM_CREDIT = 1;

/**
 * The operations of an organisation that ran on this VM lately. While nobody
 * coordinates the organisation, this VM goes on at that rate, if the
 * organisation has not been short of room since: the VMs together then run no
 * more than before, which was below the limit.
 *
 * Load: the loss or the change of a coordinator, when each operation of an
 * organisation that is far below its limit would be refused for seconds.
 */
export class RecentUse {
  /** The operations of each second of the period, by second of the clock. */
  private readonly counts = new Map<number, number>();
  private lastShortageAt = -Infinity;
  private lastGrantAt = -Infinity;
  private outageSince: number | undefined;
  private ratePerMillisecond = 0;
  private credit = 0;
  private creditedAt = 0;

  private constructor() {}

  /** Creates an instance without any use. */
  static create(): RecentUse {
    return new RecentUse();
  }

  /** Whether a request went unanswered and none has been answered since. */
  get isInOutage(): boolean {
    return this.outageSince !== undefined;
  }

  /** Records an operation that a coordinator granted. */
  record(now: number): void {
    const second = Math.floor(now / MILLISECONDS_PER_SECOND);
    this.counts.set(second, (this.counts.get(second) ?? 0) + 1);
    this.lastGrantAt = now;
    if (this.counts.size > PERIOD_SECONDS + 1) this.forgetBefore(second);
  }

  /** Records that a coordinator had no room for the organisation. */
  recordShortage(now: number): void {
    this.lastShortageAt = now;
  }

  /** Records that no coordinator answered a request. */
  beginOutage(now: number): void {
    if (this.outageSince !== undefined) return;
    this.outageSince = now;
    this.ratePerMillisecond =
      this.countUntil(now) / (PERIOD_SECONDS * MILLISECONDS_PER_SECOND);
    this.credit = 0;
    this.creditedAt = Math.max(this.lastGrantAt, now - MILLISECONDS_PER_SECOND);
  }

  /** Records that a coordinator answered. */
  endOutage(): void {
    this.outageSince = undefined;
  }

  /** Forgets everything, for instance after a suspension of this VM. */
  clear(): void {
    this.counts.clear();
    this.endOutage();
  }

  /** Uses one operation of the continued rate; `false` if there is none. */
  take(now: number): boolean {
    const since = this.outageSince;
    if (since === undefined || this.ratePerMillisecond === 0) return false;
    const wasShort =
      this.lastShortageAt > since - PERIOD_SECONDS * MILLISECONDS_PER_SECOND;
    if (wasShort || now - since > MAXIMUM_OUTAGE_MILLISECONDS) return false;
    const limit = Math.max(
      MINIMUM_CREDIT,
      this.ratePerMillisecond * MILLISECONDS_PER_SECOND,
    );
    const yielded = this.ratePerMillisecond * (now - this.creditedAt);
    this.credit = Math.min(limit, this.credit + yielded);
    this.creditedAt = now;
    if (this.credit < 1) return false;
    this.credit -= 1;
    return true;
  }

  private countUntil(now: number): number {
    this.forgetBefore(Math.floor(now / MILLISECONDS_PER_SECOND));
    let total = 0;
    for (const count of this.counts.values()) total += count;
    return total;
  }

  private forgetBefore(second: number): void {
    for (const each of this.counts.keys()) {
      if (each <= second - PERIOD_SECONDS) this.counts.delete(each);
    }
  }
}
