import {Deferred, Observable, withTimeout, TIMED_OUT} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {ClusterView, findGroup, VirtualMachine} from '@apricotlock/topology';
import {CURRENT_POSITION, WorkService} from '@apricotlock/work';
import {groupsToRefresh} from './position_refresh.js';
import {
  PositionSample,
  PositionSampleHistory,
} from './position_sample_history.js';

const REQUEST_TIMEOUT_MILLISECONDS = 500;
const TICK_INTERVAL_MILLISECONDS = 100;
/** How long after a read the position of a group is refreshed. */
const TRACKING_DURATION_MILLISECONDS = 3_000;
const RETRY_INTERVAL_MILLISECONDS = 20;

/** Dependencies of the primary position tracker. */
export interface PrimaryPositionTrackerOptions {
  readonly self: string;
  readonly view: Observable<ClusterView>;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly work: WorkService;
  readonly timer: TimerService;
}

/**
 * Requests the log positions of primaries from their lease holders, for groups
 * that were read recently.
 */
export class PrimaryPositionTracker {
  private readonly history = PositionSampleHistory.create();
  private readonly lastReadAt = new Map<string, number>();
  private readonly pendingRequests = new Map<string, Deferred<void>>();
  private readonly stopTicking: Unsubscribe;

  private constructor(private readonly options: PrimaryPositionTrackerOptions) {
    this.stopTicking = options.timer.every(TICK_INTERVAL_MILLISECONDS, () =>
      this.refresh(),
    );
  }

  /** Starts tracking, without any samples. */
  static start(options: PrimaryPositionTrackerOptions): PrimaryPositionTracker {
    return new PrimaryPositionTracker(options);
  }

  /**
   * Time since the newest answered request to the lease holder of any primary,
   * in milliseconds.
   */
  get primaryContactAgeMilliseconds(): number {
    const newest = this.options.view.current.groups.map(
      ({database}) => this.history.newest(database)?.requestedAt ?? -Infinity,
    );
    return this.options.timer.now() - Math.max(-Infinity, ...newest);
  }

  /**
   * Returns the time since the newest answered request to the lease holder of a
   * group, in milliseconds; 0 if the group was not read recently.
   */
  silentMilliseconds(database: string): number {
    if (!this.lastReadAt.has(database)) return 0;
    const requestedAt = this.history.newest(database)?.requestedAt;
    return requestedAt === undefined
      ? 0
      : this.options.timer.now() - requestedAt;
  }

  /** Returns the newest sample of a group, `undefined` if there is none. */
  newestSample(database: string): PositionSample | undefined {
    return this.history.newest(database);
  }

  /** Stops refreshing positions. */
  stop(): void {
    this.stopTicking();
  }

  /**
   * Resolves to a sample that covers every write acknowledged before `moment`,
   * `undefined` if none is available within `waitMilliseconds`.
   */
  async waitForCoveringSample(
    database: string,
    moment: number,
    waitMilliseconds: number,
  ): Promise<PositionSample | undefined> {
    const {timer} = this.options;
    this.lastReadAt.set(database, timer.now());
    const deadline = timer.now() + waitMilliseconds;
    for (;;) {
      this.recordLocalPosition(database);
      const sample = this.history.findCoveringSample(database, moment);
      const remainingMilliseconds = deadline - timer.now();
      if (sample !== undefined || remainingMilliseconds <= 0) return sample;
      const response = await withTimeout(
        timer,
        remainingMilliseconds,
        this.poll(database),
      );
      if (response === TIMED_OUT) continue;
      const pause = Math.min(
        RETRY_INTERVAL_MILLISECONDS,
        deadline - timer.now(),
      );
      const found =
        this.history.findCoveringSample(database, moment) !== undefined;
      if (!found && pause > 0) await timer.sleep(pause);
    }
  }

  private refresh(): void {
    const {timer, machines} = this.options;
    const now = timer.now();
    for (const [database, readAt] of this.lastReadAt) {
      if (now - readAt <= TRACKING_DURATION_MILLISECONDS) continue;
      this.lastReadAt.delete(database);
    }
    const groups = [...this.lastReadAt.keys()].map(database => {
      const requestedAt = this.history.newest(database)?.requestedAt;
      return {
        database,
        sampleAgeMilliseconds: now - (requestedAt ?? -Infinity),
      };
    });
    for (const database of groupsToRefresh(groups, machines.current.length)) {
      void this.poll(database);
    }
  }

  /** Records the position if this VM is the lease holder of the group. */
  private recordLocalPosition(database: string): void {
    const {view, work, timer} = this.options;
    const term = findGroup(view.current, database)?.term ?? 0;
    const position = work.currentPosition(database, term);
    if (position === undefined) return;
    this.history.record(database, {term, requestedAt: timer.now(), position});
  }

  private poll(database: string): Promise<void> {
    const pending = this.pendingRequests.get(database);
    if (pending !== undefined) return pending.promise;
    const completion = Deferred.create<void>();
    this.pendingRequests.set(database, completion);
    void this.pollHolder(database).finally(() => {
      this.pendingRequests.delete(database);
      completion.resolve();
    });
    return completion.promise;
  }

  private async pollHolder(database: string): Promise<void> {
    const {self, view, machines, network, timer} = this.options;
    const group = findGroup(view.current, database);
    if (group?.primary === undefined) return;
    if (group.holder === self) return this.recordLocalPosition(database);
    const {term} = group;
    const holder = machines.current.find(({name}) => name === group.holder);
    if (holder === undefined) return;
    const requestedAt = timer.now();
    const answer = await network.call(
      holder.peerAddress,
      CURRENT_POSITION,
      {database, term},
      REQUEST_TIMEOUT_MILLISECONDS,
    );
    answer.ifRight(position =>
      this.history.record(database, {
        term,
        requestedAt,
        receivedAt: timer.now(),
        position,
      }),
    );
  }
}
