import {TimerService} from '@apricotlock/timer';
import {GroupTerm} from '@apricotlock/work';

/** A lease holder that requests no renewal for this long is replaced. */
const HOLDER_SILENCE_MILLISECONDS = 450;
/** The allowed silence never grows beyond this. */
const MAXIMUM_SILENCE_MILLISECONDS = 1_800;
/**
 * While no holder of any group was heard, more time is allowed by this factor:
 * then it is more likely that all of them restart than that all are lost.
 */
const NOBODY_HEARD_FACTOR = 3;

/**
 * How long lease holders have been silent, as far as this VM can tell, and
 * whether that is long enough to replace them.
 *
 * It answers the load after a restart of all VMs: processes that have just
 * started take more than the usual time for their first request. A holder that
 * is replaced then costs its successor the same time once more. So the allowed
 * silence doubles with each holder of a group that was replaced unheard.
 */
export class HolderSilence {
  private readonly lastRequestAt = new Map<string, number>();
  /** When this VM first saw a primary in each term of each group. */
  private readonly termFirstSeenAt = new Map<string, number>();
  /** Holders of a group that were replaced in turn without a request. */
  private readonly replacedUnheard = new Map<string, number>();
  /** Until when silence does not count, because this VM was held up. */
  private excusedUntil: number;

  private constructor(private readonly timer: TimerService) {
    this.excusedUntil = timer.now();
  }

  /** Starts to count, with all holders unheard. */
  static start(timer: TimerService): HolderSilence {
    return new HolderSilence(timer);
  }

  /** Records that the holder of a group has requested a renewal. */
  recordRequest(database: string): void {
    this.lastRequestAt.set(database, this.timer.now());
    this.replacedUnheard.delete(database);
  }

  /** Records that a holder of a group is being replaced for its silence. */
  recordReplacement({database, term}: GroupTerm): void {
    const heardAt = this.lastRequestAt.get(database) ?? -Infinity;
    const since = this.termFirstSeenAt.get(keyOf({database, term})) ?? Infinity;
    if (heardAt >= since) return;
    const count = this.replacedUnheard.get(database) ?? 0;
    this.replacedUnheard.set(database, count + 1);
  }

  /**
   * Counts silence only from now on. To be called when this VM was held up, as
   * it could not read the requests.
   */
  excuse(): void {
    this.excusedUntil = this.timer.now();
  }

  /**
   * Returns for how many milliseconds the lease holder of a group has not
   * requested a renewal, counted at most from when its term was first seen.
   */
  silentMilliseconds({database, term}: GroupTerm): number {
    const key = keyOf({database, term});
    // A term that is seen for the first time counts as just begun.
    const since = this.termFirstSeenAt.get(key) ?? this.timer.now();
    this.termFirstSeenAt.set(key, since);
    const lastRequestAt = this.lastRequestAt.get(database) ?? -Infinity;
    const lastSignAt = Math.max(since, lastRequestAt, this.excusedUntil);
    return this.timer.now() - lastSignAt;
  }

  /** Returns whether the lease holder of a group is to be replaced. */
  isLost(group: GroupTerm): boolean {
    const silentMilliseconds = this.silentMilliseconds(group);
    return silentMilliseconds > this.allowedMilliseconds(group.database);
  }

  private allowedMilliseconds(database: string): number {
    const doublings = this.replacedUnheard.get(database) ?? 0;
    const nobodyHeard = this.lastRequestAt.size === 0;
    const factor = nobodyHeard ? NOBODY_HEARD_FACTOR : 2 ** doublings;
    return Math.min(
      HOLDER_SILENCE_MILLISECONDS * factor,
      MAXIMUM_SILENCE_MILLISECONDS,
    );
  }
}

function keyOf({database, term}: GroupTerm): string {
  return `${database} ${term}`;
}
