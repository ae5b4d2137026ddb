import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {ClusterView} from '@apricotlock/topology';
import {PrimaryPositionTracker} from './primary_position_tracker.js';
import {PrimaryOutage} from './wait_policy.js';

/** Dependencies of the tracking of outages. */
export interface PrimaryOutagesOptions {
  readonly view: Observable<ClusterView>;
  readonly primaryPositions: PrimaryPositionTracker;
  /** Returns whether this VM is considered isolated from the others. */
  readonly isIsolated: () => boolean;
  readonly timer: TimerService;
}

/** Tracks for how long primaries have been unusable from this VM. */
export class PrimaryOutages {
  /** When the primary was first missing from the view, by database. */
  private readonly missingSince = new Map<string, number>();

  private constructor(private readonly options: PrimaryOutagesOptions) {
    this.trackMissing(options.view.current);
    options.view.subscribe(view => this.trackMissing(view));
  }

  /** Starts tracking the primaries of the view. */
  static create(options: PrimaryOutagesOptions): PrimaryOutages {
    return new PrimaryOutages(options);
  }

  /** Returns what is known about the outage of a primary, if there is one. */
  outageOf(database: string): PrimaryOutage {
    const {timer, primaryPositions, isIsolated} = this.options;
    const since = this.missingSince.get(database) ?? timer.now();
    const silentMilliseconds = primaryPositions.silentMilliseconds(database);
    const durationMilliseconds = Math.max(
      timer.now() - since,
      silentMilliseconds,
    );
    return {durationMilliseconds, isolated: isIsolated()};
  }

  private trackMissing({groups}: ClusterView): void {
    const now = this.options.timer.now();
    for (const {database, primary} of groups) {
      if (primary !== undefined) this.missingSince.delete(database);
      else if (!this.missingSince.has(database)) {
        this.missingSince.set(database, now);
      }
    }
  }
}
