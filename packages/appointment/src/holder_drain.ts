import {TimerService} from '@apricotlock/timer';
import {DatabaseGroup} from '@apricotlock/topology';
import {PLANNED_GRACE_MILLISECONDS} from './lease_revocation.js';

/**
 * Returns how long the leases of a draining holder stay with it for its open
 * transactions. They have half of its grace period to end, of which the grace of
 * the revocation is the last part.
 */
export function holderDrainMilliseconds(graceMilliseconds: number): number {
  return Math.max(0, graceMilliseconds / 2 - PLANNED_GRACE_MILLISECONDS);
}

/**
 * Returns whether the lease of a draining holder is to be handed over now. The
 * number of its open transactions is `undefined` if it has not told it.
 */
export function mustHandOver(
  drainingMilliseconds: number,
  openTransactions: number | undefined,
  limitMilliseconds: number,
): boolean {
  if (drainingMilliseconds >= limitMilliseconds) return true;
  return openTransactions === undefined || openTransactions === 0;
}

/** The holder and term of a group, and when they were first seen draining. */
interface SeenDraining {
  readonly key: string;
  readonly at: number;
}

/** For how long this VM has seen each lease holder draining. */
export class HolderDrain {
  /** By database. */
  private readonly since = new Map<string, SeenDraining>();

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
