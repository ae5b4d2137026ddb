import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {ClusterView, VirtualMachine} from '@apricotlock/topology';
import {FillClock} from './fill_clock.js';
import {FillShare} from './fill_share.js';
import {OrganisationBucket} from './organisation_bucket.js';
import {quotasOf} from './quota_index.js';
import {GRANT, GrantAnswer, GrantItem, GrantRequest} from './quota_messages.js';
import {shardOf} from './quota_shards.js';
import {ShardOwnership} from './shard_ownership.js';
import {HANDOVER_MILLISECONDS, ShardTakeover} from './shard_takeover.js';
import {SuspensionDetector} from './suspension_detector.js';

/** Beyond this age of its view, a coordinator grants nothing. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 2_000;
/**
 * A VM that was cut off from control and from other entry VMs grants nothing
 * for this long after its view is new again. Membership joins the sides of a
 * partition within 2.7 s after its end, and until then each side has its own
 * coordinators.
 */
const REJOIN_MILLISECONDS = 3_000;
const TICK_MILLISECONDS = 200;
/**
 * After a longer pause this VM counts as a new coordinator, since the others
 * may have declared it dead: they do so after 1.3 s at the earliest.
 */
const RESTART_PAUSE_MILLISECONDS = 1_000;
/**
 * For this long after the start the list of VMs may lack the predecessor, so
 * that a shard is taken over again when a VM joins that may be it.
 */
const SETTLE_MILLISECONDS = 10_000;
const PRUNE_INTERVAL_MILLISECONDS = 30_000;
const UNKNOWN_ORGANISATION_RETRY_MILLISECONDS = 1_000;

/** Dependencies of {@link QuotaCoordinator}. */
export interface QuotaCoordinatorOptions {
  readonly self: string;
  /** The entry VMs, as seen by this VM. */
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly view: Observable<ClusterView>;
  readonly viewAgeMilliseconds: () => number;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
}

interface GrantAnswers {
  readonly answers: readonly GrantAnswer[];
}

/**
 * Grants operations of the organisations that this VM coordinates. Its state is
 * lost with the process; its successor begins with an empty bucket.
 */
export class QuotaCoordinator {
  private readonly ownership: ShardOwnership;
  private readonly takeover: ShardTakeover;
  private readonly startedAt: number;
  private readonly share = FillShare.create();
  private readonly clock: FillClock;
  private readonly suspensions: SuspensionDetector;
  private suspensionCount: number;
  private readAt: number;
  private prunedAt: number;
  /**
   * When this VM was last seen to be cut off from control, until it rejoins.
   */
  private cutOffAt: number | undefined;
  private cutOffFromMachines = false;
  private wasConnected = false;
  private currentShare = 0;
  private readonly buckets = new Map<string, OrganisationBucket>();
  private stopTicking: Unsubscribe | undefined;
  private readonly unsubscribers: readonly Unsubscribe[];

  private constructor(private readonly options: QuotaCoordinatorOptions) {
    const {self, machines, view, network, timer} = options;
    const now = timer.now();
    this.ownership = ShardOwnership.create(self);
    this.clock = FillClock.create(now);
    this.takeover = ShardTakeover.start({
      ...options,
      ownership: this.ownership,
      knownMachines: () => this.share.known(),
    });
    this.startedAt = now;
    this.readAt = now;
    this.prunedAt = now;
    this.suspensions = SuspensionDetector.create(timer);
    this.suspensionCount = this.suspensions.count();
    this.applyMachines(machines.current);
    this.applyView(view.current);
    this.unsubscribers = [
      machines.subscribe(current => this.applyMachines(current)),
      view.subscribe(current => this.applyView(current)),
    ];
    network.handle(GRANT, async request => this.grant(request));
  }

  /** Starts to answer grant requests. */
  static start(options: QuotaCoordinatorOptions): QuotaCoordinator {
    return new QuotaCoordinator(options);
  }

  /** The number of organisations with a bucket here. */
  get bucketCount(): number {
    return this.buckets.size;
  }

  /** The entry VMs that are seen or were lost recently. */
  get knownMachineCount(): number {
    return this.share.known().length;
  }

  /**
   * Updates and returns whether this VM may grant: it is connected to control,
   * and has been for {@link REJOIN_MILLISECONDS} if it also lost entry VMs
   * while it was cut off. In that case it restarts as a new coordinator.
   */
  checkConnection(): boolean {
    const now = this.options.timer.now();
    if (this.options.viewAgeMilliseconds() > MAXIMUM_VIEW_AGE_MILLISECONDS) {
      if (this.wasConnected) this.cutOffAt = now;
      this.cutOffFromMachines ||= this.share.isIncomplete;
      return false;
    }
    this.wasConnected = true;
    if (this.cutOffAt === undefined) return true;
    // If no entry VM was lost, only control was unreachable, for all of them.
    this.cutOffFromMachines ||= this.share.isIncomplete;
    const isRecent = now - this.cutOffAt < REJOIN_MILLISECONDS;
    if (this.cutOffFromMachines && isRecent) return false;
    this.cutOffAt = undefined;
    if (this.cutOffFromMachines) this.restart(this.readClock());
    this.cutOffFromMachines = false;
    return true;
  }

  /** Answers the requests of one VM. */
  grant({from, items}: GrantRequest): Either<string, GrantAnswers> {
    const now = this.readClock();
    if (!this.checkConnection()) {
      return Left('this VM was cut off from control');
    }
    const answers = items.map(item => this.answer(from, item, now));
    return Right({answers});
  }

  /** Stops the timers; requests are still answered. */
  stop(): void {
    for (const unsubscribe of this.unsubscribers) unsubscribe();
    this.stopTicking?.();
  }

  private get isEnabled(): boolean {
    return this.stopTicking !== undefined;
  }

  private answer(from: string, item: GrantItem, now: number): GrantAnswer {
    const [name, needed, wanted, held, returned, sequence, isRetry] = item;
    const since = this.ownership.activeSince(shardOf(name));
    if (since === undefined) return [];
    const quotas = quotasOf(this.options.view.current.catalogue);
    const quota = quotas.get(name);
    if (quota === undefined) {
      if (quotas.has(name)) return [wanted];
      const retry = UNKNOWN_ORGANISATION_RETRY_MILLISECONDS;
      return [0, retry, retry];
    }
    const share = this.currentShare;
    let bucket = this.buckets.get(name);
    if (bucket === undefined) {
      const filled = now - since - HANDOVER_MILLISECONDS;
      bucket = OrganisationBucket.create(quota, now, filled, share);
      this.buckets.set(name, bucket);
    }
    bucket.fill(now, share);
    bucket.setQuota(quota);
    const report = {
      machine: from,
      sequence,
      isRetry: isRetry !== 0,
      held,
      returned,
    };
    return bucket.grant(report, {needed, wanted}, now, share);
  }

  private applyMachines(machines: readonly VirtualMachine[]): void {
    const now = this.readClock();
    const monotonicNow = this.options.timer.now();
    const added = this.share.update(machines, monotonicNow);
    this.refreshShare(now);
    const {gained, lost} = this.ownership.update(machines, now);
    const isSettling = monotonicNow - this.startedAt < SETTLE_MILLISECONDS;
    const toTakeOver =
      added.length > 0 && isSettling
        ? this.restartShardsOf(added, gained, now)
        : gained;
    this.dropBuckets(new Set([...lost, ...toTakeOver]));
    this.startTakeover(toTakeOver, now);
  }

  /**
   * Restarts the gained shards and those for which added VMs may have granted.
   */
  private restartShardsOf(
    added: readonly VirtualMachine[],
    gained: readonly number[],
    now: number,
  ): readonly number[] {
    return this.ownership.restartWhere(
      now,
      shard => gained.includes(shard) || this.takeover.asksAnyOf(added, shard),
    );
  }

  private dropBuckets(shards: ReadonlySet<number>): void {
    for (const name of this.buckets.keys()) {
      if (shards.has(shardOf(name))) this.buckets.delete(name);
    }
  }

  /** The clock is read regularly only while some organisation has a quota. */
  private applyView({catalogue}: ClusterView): void {
    const {organisations} = catalogue;
    const hasQuotas = organisations?.some(({quota}) => quota !== undefined);
    if (hasQuotas && !this.isEnabled) {
      this.stopTicking = this.options.timer.every(TICK_MILLISECONDS, () =>
        this.tick(),
      );
      this.restart(this.readClock());
    } else if (!hasQuotas) {
      this.stopTicking?.();
      this.stopTicking = undefined;
      this.buckets.clear();
    }
  }

  private tick(): void {
    const now = this.readClock();
    this.checkConnection();
    const monotonicNow = this.options.timer.now();
    if (monotonicNow - this.prunedAt < PRUNE_INTERVAL_MILLISECONDS) return;
    this.prunedAt = monotonicNow;
    for (const [name, bucket] of this.buckets) {
      if (bucket.isFull(now, this.currentShare)) this.buckets.delete(name);
    }
  }

  /** Returns the time on the fill clock, and applies what has changed. */
  private readClock(): number {
    const monotonicNow = this.options.timer.now();
    const paused = monotonicNow - this.readAt > RESTART_PAUSE_MILLISECONDS;
    this.readAt = monotonicNow;
    const now = this.clock.read(monotonicNow);
    const suspensionCount = this.suspensions.count();
    if (paused || suspensionCount !== this.suspensionCount) {
      this.suspensionCount = suspensionCount;
      this.restart(now);
    }
    this.refreshShare(now);
    return now;
  }

  /** Lets this VM count as a new coordinator of all its shards. */
  private restart(now: number): void {
    this.buckets.clear();
    this.startTakeover(this.ownership.restart(now), now);
  }

  private startTakeover(shards: readonly number[], since: number): void {
    if (shards.length > 0 && this.isEnabled) {
      void this.takeover.take({shards, since});
    }
  }

  /** Fills all buckets with the former share before a new one applies. */
  private refreshShare(now: number): void {
    const share = this.share.current(this.options.timer.now());
    if (share === this.currentShare) return;
    for (const bucket of this.buckets.values()) {
      bucket.fill(now, this.currentShare);
    }
    this.currentShare = share;
  }
}
