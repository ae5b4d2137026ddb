import {TimerService} from '@apricotlock/timer';

/** Each first attempt adds this to the balance. */
const RETRY_SHARE = 0.2;
/** Added to the balance each second, for groups with few statements. */
const RETRIES_PER_SECOND = 1;
/** Unused retries of about ten seconds are kept for a burst. */
const LARGEST_BALANCE = 15;
/** Kept for failed work, which members have not refused. */
const RESERVE_FOR_FAILURES = 5;
const MILLISECONDS_PER_SECOND = 1_000;

/** Why a statement is to be tried again. */
export type RetryCause = 'refused' | 'failed';

interface Balance {
  retries: number;
  at: number;
}

/**
 * Limits the retries of this VM for each group to a share of its first
 * attempts. Without a limit, an overload feeds itself: refused and failed
 * statements are tried again, here and by the caller, so that members get
 * several times the work that arrives while they are overloaded.
 */
export class RetryBudget {
  private readonly balances = new Map<string, Balance>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an instance with the full budget for every group. */
  static create(timer: TimerService): RetryBudget {
    return new RetryBudget(timer);
  }

  /** Records the first attempt of a statement on a group. */
  recordFirstAttempt(database: string): void {
    const balance = this.balanceOf(database);
    balance.retries = Math.min(LARGEST_BALANCE, balance.retries + RETRY_SHARE);
  }

  /** Takes a retry from the budget. Returns `false` if it is used up. */
  take(database: string, cause: RetryCause): boolean {
    const balance = this.balanceOf(database);
    const reserve = cause === 'refused' ? RESERVE_FOR_FAILURES : 0;
    if (balance.retries < reserve + 1) return false;
    balance.retries -= 1;
    return true;
  }

  private balanceOf(database: string): Balance {
    const now = this.timer.now();
    let balance = this.balances.get(database);
    if (balance === undefined) {
      balance = {retries: LARGEST_BALANCE, at: now};
      this.balances.set(database, balance);
    }
    const gained =
      ((now - balance.at) / MILLISECONDS_PER_SECOND) * RETRIES_PER_SECOND;
    balance.retries = Math.min(LARGEST_BALANCE, balance.retries + gained);
    balance.at = now;
    return balance;
  }
}
