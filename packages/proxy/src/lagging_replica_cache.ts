import {TimerService} from '@apricotlock/timer';

/** How long a read may wait for a replica to reach the minimum log position. */
const CATCH_UP_WAIT_MILLISECONDS = 1_200;
/** How long reads do not wait for a replica after a wait without success. */
const CATCH_UP_PAUSE_MILLISECONDS = 1_000;

/** Stores which replicas recently failed to catch up while a read waited. */
export class LaggingReplicaCache {
  /** End of the pause of each lagging replica, on the timer's clock. */
  private readonly laggingUntil = new Map<string, number>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates a cache without lagging replicas. */
  static create(timer: TimerService): LaggingReplicaCache {
    return new LaggingReplicaCache(timer);
  }

  /**
   * Returns how long a read may wait for a replica, in milliseconds; 0 during
   * the pause after a wait without success.
   */
  catchUpWaitMilliseconds(member: string): number {
    const until = this.laggingUntil.get(member);
    if (until === undefined) return CATCH_UP_WAIT_MILLISECONDS;
    if (this.timer.now() < until) return 0;
    // Only this read waits; the pause is renewed for all others.
    this.recordCatchUpTimeout(member);
    return CATCH_UP_WAIT_MILLISECONDS;
  }

  /** Records that a replica did not catch up while a read waited for it. */
  recordCatchUpTimeout(member: string): void {
    const until = this.timer.now() + CATCH_UP_PAUSE_MILLISECONDS;
    this.laggingUntil.set(member, until);
  }

  /** Records that a replica caught up while a read waited for it. */
  recordCatchUp(member: string): void {
    this.laggingUntil.delete(member);
  }
}
