import {TimerService} from '@apricotlock/timer';
import {DatabaseGroup} from '@apricotlock/topology';

/**
 * How long the leases of a draining holder stay with it for open transactions.
 * They have half of the grace period of 6 s to end, of which the grace of the
 * revocation is the last part.
 */
export const HOLDER_DRAIN_MILLISECONDS = 2_750;

/**
 * Returns whether the lease of a draining holder is to be handed over now. The
 * number of its open transactions is `undefined` if it has not told it.
 */
export function mustHandOver(
  drainingMilliseconds: number,
  openTransactions: number | undefined,
): boolean {
  if (drainingMilliseconds >= HOLDER_DRAIN_MILLISECONDS) return true;
  return openTransactions === undefined || openTransactions === 0;
}

/** For how long this VM has seen each lease holder draining. */
export class HolderDrain {
  /** By group, the holder and term, and when they were first seen. */
  private readonly since = new Map<string, {key: string; at: number}>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an instance that has seen no holder draining. */
  static create(timer: TimerService): HolderDrain {
    return new HolderDrain(timer);
  }

  /**
   * Records that the holder of a group is draining. Returns the milliseconds
   * since this was first seen in the term of the group.
   */
  record({database, holder, term}: DatabaseGroup): number {
    const now = this.timer.now();
    const key = `${term} ${holder}`;
    const known = this.since.get(database);
    if (known?.key === key) return now - known.at;
    this.since.set(database, {key, at: now});
    return 0;
  }
}
