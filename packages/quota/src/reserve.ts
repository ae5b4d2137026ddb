import {TokenBucket} from './token_bucket.js';

/**
 * The reserve begins to fill only after this time without an answer. A
 * coordinator that control does not reach stops granting when its view is 2 s
 * old, and the reserve is used only by a VM whose own view is newer. Without
 * the delay, a data centre that is cut off would use reserves beside a
 * coordinator that has not noticed it and still fills at the full rate.
 */
export const RESERVE_DELAY_MILLISECONDS = 2_000;

/**
 * The part of an organisation's rate that one VM may use while the coordinator
 * does not answer.
 *
 * Load: one call of `take` for each operation that finds no allowance while
 * requests go unanswered.
 */
export class Reserve {
  private unansweredSince: number | undefined;
  private bucket: TokenBucket | undefined;

  private constructor() {}

  /** Creates an empty reserve that does not fill. */
  static create(): Reserve {
    return new Reserve();
  }

  /** Whether requests go unanswered. */
  get isInUse(): boolean {
    return this.unansweredSince !== undefined;
  }

  /** Records that a request sent at the given time was not answered. */
  onUnanswered(sentAt: number): void {
    this.unansweredSince ??= sentAt;
  }

  /** Empties the reserve, and ends its filling. */
  reset(): void {
    this.unansweredSince = undefined;
    this.bucket = undefined;
  }

  /** Uses one operation; returns `false` if there is none. */
  take(now: number, operationsPerSecond: number, limit: number): boolean {
    if (this.unansweredSince === undefined) return false;
    const beginsAt = this.unansweredSince + RESERVE_DELAY_MILLISECONDS;
    if (now < beginsAt) return false;
    this.bucket ??= TokenBucket.create(0, beginsAt);
    this.bucket.fill(now, operationsPerSecond, limit);
    return this.bucket.take(1) === 1;
  }
}
