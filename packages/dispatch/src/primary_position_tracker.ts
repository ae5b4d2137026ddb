import {Right} from 'purify-ts';
import {Deferred, Observable, withTimeout, TIMED_OUT} from '@apricotlock/flow';
import {PeerError, PeerNetwork} from '@apricotlock/peer';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {ClusterView, findGroup, VirtualMachine} from '@apricotlock/topology';
import {CURRENT_POSITION, WorkService} from '@apricotlock/work';
import {DirectSamples} from './direct_samples.js';
import {groupsToRefresh} from './position_refresh.js';
import {
  PositionSample,
  PositionSampleHistory,
} from './position_sample_history.js';
import {
  packSamples,
  POSITION_SAMPLES,
  RelayedSample,
  unpackSamples,
} from './position_samples.js';
import {ReportTimes} from './primary_timeline.js';

const REQUEST_TIMEOUT_MILLISECONDS = 500;
const TICK_INTERVAL_MILLISECONDS = 100;
/** How long after a read the position of a group is refreshed. */
const TRACKING_DURATION_MILLISECONDS = 3_000;
const RETRY_INTERVAL_MILLISECONDS = 20;
/**
 * Lease holders ask each other at the interval for this many VMs for each
 * group, which is the shortest one up to 6 groups.
 */
const HOLDER_WEIGHT = 5;

/** Dependencies of the primary position tracker. */
export interface PrimaryPositionTrackerOptions {
  readonly self: string;
  readonly view: Observable<ClusterView>;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly work: WorkService;
  readonly timer: TimerService;
  /**
   * Returns whether lease holders are asked although no group was read, to find
   * out when they answer this VM again; never by default.
   */
  readonly seeksContact?: () => boolean;
}

/**
 * Requests the log positions of primaries from their lease holders, for groups
 * that were read recently. A lease holder also passes on the positions that it
 * has received from the others, so that each VM asks one holder at a time.
 */
export class PrimaryPositionTracker {
  private readonly history = PositionSampleHistory.create();
  private readonly lastReadAt = new Map<string, number>();
  private readonly pendingRequests = new Map<string, Deferred<void>>();
  private readonly directSamples: DirectSamples;
  /** Processes of an earlier version, which pass on no samples. */
  private readonly processesWithoutRelay = new Set<string>();
  private readonly stopTicking: Unsubscribe;

  private constructor(private readonly options: PrimaryPositionTrackerOptions) {
    this.directSamples = DirectSamples.create(options.timer);
    this.stopTicking = options.timer.every(TICK_INTERVAL_MILLISECONDS, () =>
      this.refresh(),
    );
  }

  /** Starts tracking, without any samples. */
  static start(options: PrimaryPositionTrackerOptions): PrimaryPositionTracker {
    const tracker = new PrimaryPositionTracker(options);
    options.network.handle(POSITION_SAMPLES, async () => {
      for (const database of tracker.heldDatabases()) {
        tracker.recordLocalPosition(database);
      }
      return Right({samples: packSamples(tracker.directSamples.list())});
    });
    return tracker;
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
    const databases = this.trackedDatabases();
    if (databases.length === 0) return;
    const groups = databases.map(database => {
      const requestedAt = this.history.newest(database)?.requestedAt;
      return {
        database,
        sampleAgeMilliseconds: now - (requestedAt ?? -Infinity),
      };
    });
    // The few lease holders refresh often, so that what they pass on is recent.
    const isHolder = this.heldDatabases().length > 0;
    const requesterCount = isHolder
      ? Math.min(machines.current.length, HOLDER_WEIGHT * groups.length)
      : machines.current.length;
    for (const database of groupsToRefresh(groups, requesterCount)) {
      void this.poll(database, !isHolder);
    }
  }

  private trackedDatabases(): readonly string[] {
    const {view, seeksContact} = this.options;
    return seeksContact?.() === true
      ? view.current.groups.map(({database}) => database)
      : [...this.lastReadAt.keys()];
  }

  /** Returns the groups whose primaries are used by this VM. */
  private heldDatabases(): readonly string[] {
    const {self, view} = this.options;
    return view.current.groups
      .filter(({holder}) => holder === self)
      .map(({database}) => database);
  }

  /** Records the position if this VM is the lease holder of the group. */
  private recordLocalPosition(database: string): void {
    const {view, work, timer} = this.options;
    const term = findGroup(view.current, database)?.term ?? 0;
    const position = work.currentPosition(database, term);
    if (position === undefined) return;
    this.recordDirect(
      database,
      {term, requestedAt: timer.now(), position},
      this.directSamples.startRequest(),
    );
  }

  private recordDirect(
    database: string,
    sample: PositionSample,
    wallAt: number,
  ): void {
    this.history.record(database, sample);
    this.directSamples.record(database, sample, wallAt);
  }

  private poll(database: string, acceptsRelayed = false): Promise<void> {
    const pending = this.pendingRequests.get(database);
    if (pending !== undefined) return pending.promise;
    const completion = Deferred.create<void>();
    this.pendingRequests.set(database, completion);
    void this.pollHolder(database, acceptsRelayed).finally(() => {
      this.pendingRequests.delete(database);
      completion.resolve();
    });
    return completion.promise;
  }

  private async pollHolder(
    database: string,
    acceptsRelayed: boolean,
  ): Promise<void> {
    const {self, view, machines, network, timer} = this.options;
    const group = findGroup(view.current, database);
    if (group?.primary === undefined) return;
    if (group.holder === self) return this.recordLocalPosition(database);
    const {term} = group;
    const holder = machines.current.find(({name}) => name === group.holder);
    if (holder === undefined) return;
    if (acceptsRelayed && (await this.requestSamples(holder, database))) return;
    const requestedAt = timer.now();
    const wallAt = this.directSamples.startRequest();
    const answer = await network.call(
      holder.peerAddress,
      CURRENT_POSITION,
      {database, term},
      REQUEST_TIMEOUT_MILLISECONDS,
    );
    answer.ifRight(position =>
      this.recordDirect(
        database,
        {term, requestedAt, receivedAt: timer.now(), position},
        wallAt,
      ),
    );
  }

  /**
   * Requests all samples that a lease holder has. Returns `false` if the group
   * has to be requested on its own, since the holder answered without a sample
   * of it or its process is of an earlier version.
   */
  private async requestSamples(
    holder: VirtualMachine,
    database: string,
  ): Promise<boolean> {
    const {network, timer} = this.options;
    const process = `${holder.name} ${holder.incarnation}`;
    if (this.processesWithoutRelay.has(process)) return false;
    const requestedAt = timer.now();
    const answer = await network.call(
      holder.peerAddress,
      POSITION_SAMPLES,
      {},
      REQUEST_TIMEOUT_MILLISECONDS,
    );
    if (answer.isRight()) {
      const samples = unpackSamples(answer.unsafeCoerce().samples);
      const times = {requestedAt, receivedAt: timer.now()};
      for (const sample of samples) this.recordRelayed(sample, times);
      return samples.some(sample => sample.database === database);
    }
    const isRefused = (answer.extract() as PeerError).kind === 'refused';
    if (isRefused) this.processesWithoutRelay.add(process);
    return !isRefused;
  }

  /** Records a sample that is of the term in which the group is known here. */
  private recordRelayed(
    {database, term, position, ...ages}: RelayedSample,
    answer: ReportTimes,
  ): void {
    if (findGroup(this.options.view.current, database)?.term !== term) return;
    const requestedAt = answer.requestedAt - ages.ageMilliseconds;
    const receivedAt = answer.receivedAt - ages.receiptAgeMilliseconds;
    const newestAt = this.history.newest(database)?.requestedAt ?? -Infinity;
    if (requestedAt <= newestAt) return;
    this.history.record(database, {term, requestedAt, receivedAt, position});
  }
}
