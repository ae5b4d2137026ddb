import {TimerService} from '@apricotlock/timer';
import {ClusterView, Member} from '@apricotlock/topology';
import {
  ClockReading,
  longestElapsedMilliseconds,
  readClocks,
} from './clock_reading.js';

const UNKNOWN_TIME: ClockReading = {monotonicAt: -Infinity, wallAt: -Infinity};

/**
 * Measures for how long this process has known that members are draining, on the
 * clock that has run further. A member that is restarted counts as another one.
 */
export class DrainingMembers {
  /** When the draining of a member became known here, by incarnation. */
  private knownSince: ReadonlyMap<string, ClockReading> = new Map();

  private constructor(private readonly timer: TimerService) {}

  /** Creates a measurement that knows of no member. */
  static create(timer: TimerService): DrainingMembers {
    return new DrainingMembers(timer);
  }

  /** Learns of the members that are draining in a view, as of now. */
  update(view: ClusterView): void {
    this.learn(view, readClocks(this.timer));
  }

  /**
   * Replaces what is known by the members that are draining in a view, without
   * knowing since when: each counts as draining for an infinite time.
   */
  updateWithUnknownTimes(view: ClusterView): void {
    this.knownSince = new Map();
    this.learn(view, UNKNOWN_TIME);
  }

  /**
   * Returns for how many milliseconds this process has known that a member is
   * draining; `undefined` if it does not know it.
   */
  drainingMilliseconds(member: Member): number | undefined {
    const since = this.knownSince.get(incarnationKey(member));
    return since && longestElapsedMilliseconds(this.timer, since);
  }

  private learn({groups}: ClusterView, at: ClockReading): void {
    const draining = groups
      .flatMap(({members}) => members)
      .filter(({state}) => state === 'draining')
      .map(incarnationKey);
    if (draining.length === 0 && this.knownSince.size === 0) return;
    this.knownSince = new Map(
      draining.map(key => [key, this.knownSince.get(key) ?? at]),
    );
  }
}

function incarnationKey({name, incarnation}: Member): string {
  return `${name} ${incarnation}`;
}
