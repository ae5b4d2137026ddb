import {GRANT_VALIDITY_MILLISECONDS} from './quota_limits.js';

interface Lot {
  readonly granted: number;
  readonly requestedAt: number;
  remaining: number;
  readonly expiresAt: number;
}

/**
 * The granted operations of an organisation that this VM has not used.
 *
 * Load: one call of `take` for each operation of an organisation with a quota.
 * Lots expire in the order of their requests, and there are at most a few.
 */
export class Allowance {
  private lots: readonly Lot[] = [];
  private count = 0;
  private expired = 0;

  private constructor() {}

  /** Creates an allowance without granted operations. */
  static create(): Allowance {
    return new Allowance();
  }

  /** Returns how many operations are granted and unused. */
  held(now: number): number {
    this.expire(now);
    return this.count;
  }

  /** Adds operations that were requested at the given time. */
  add(granted: number, requestedAt: number): void {
    if (granted === 0) return;
    const expiresAt = requestedAt + GRANT_VALIDITY_MILLISECONDS;
    const lot = {granted, requestedAt, remaining: granted, expiresAt};
    this.count += granted;
    this.lots = [...this.lots, lot].sort((a, b) => a.expiresAt - b.expiresAt);
  }

  /** Uses one operation; returns `false` if none is left. */
  take(now: number): boolean {
    this.expire(now);
    if (this.count === 0) return false;
    const index = this.lots.findIndex(({remaining}) => remaining > 0);
    this.change(index, -1);
    return true;
  }

  /**
   * Puts back an operation that was taken at `takenAt` but did not run. It is
   * discarded if every lot requested by then is complete or has expired: added
   * to a later lot, the operations of a long outage would run all at once after
   * it.
   */
  putBack(takenAt: number, now: number): void {
    this.expire(now);
    const index = this.lots.findIndex(
      ({granted, requestedAt, remaining}) =>
        requestedAt <= takenAt && remaining < granted,
    );
    if (index >= 0) this.change(index, 1);
  }

  /** Removes everything, for instance after a suspension of this VM. */
  drop(): void {
    this.lots = [];
    this.count = 0;
    this.expired = 0;
  }

  /** Returns the operations that expired unused since the last call. */
  takeExpired(now: number): number {
    this.expire(now);
    const {expired} = this;
    this.expired = 0;
    return expired;
  }

  private change(index: number, difference: number): void {
    (this.lots[index] as Lot).remaining += difference;
    this.count += difference;
  }

  private expire(now: number): void {
    while (this.lots[0] !== undefined && this.lots[0].expiresAt <= now) {
      this.expired += this.lots[0].remaining;
      this.count -= this.lots[0].remaining;
      this.lots = this.lots.slice(1);
    }
  }
}
