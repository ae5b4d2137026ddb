import {Either} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {ClusterView, EMPTY_VIEW, VirtualMachine} from '@apricotlock/topology';
import {ControlLog} from './control_log.js';
import {
  FETCH_VIEW,
  FetchedView,
  PUSH_VIEW,
  ViewRequest,
} from './control_messages.js';
import {DistributionTree} from './distribution_tree.js';
import {PackedUpdate, unpackUpdate} from './packed_update.js';
import {applyDelta} from './view_delta.js';
import {ViewHistory} from './view_history.js';
import {ViewUpdate} from './view_update.js';
import {ViewPusher} from './view_pusher.js';
import {ViewRefresher} from './view_refresher.js';
import {ViewStore} from './view_store.js';

const FETCH_TIMEOUT_MILLISECONDS = 1_000;
/**
 * Maximum number of VMs to which one VM pushes, including those below
 * unreachable children.
 */
const MAXIMUM_PUSH_TARGETS = 64;
/** The index in a fetch that asks for the age of the newest view only. */
const NO_UPDATE_INDEX = Number.MAX_SAFE_INTEGER;
const FETCH_INTERVAL_MILLISECONDS = 700;
/** How often it is checked whether a fetch is due. */
const FETCH_CHECK_MILLISECONDS = 100;
const FIRST_FETCH_INTERVAL_MILLISECONDS = 50;

/** Options of {@link ViewDistributor}. */
export interface ViewDistributorOptions {
  readonly self: string;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly machines: Observable<readonly VirtualMachine[]>;
  /** The replicated log; `undefined` unless this is a control VM. */
  readonly log: ControlLog | undefined;
  /** Where the newest view is stored, on a VM with a disk. */
  readonly store: ViewStore | undefined;
  /**
   * Interval at which each VM fetches updates that it may have missed, unless
   * its view is known to be current.
   */
  readonly fetchMilliseconds?: number;
  /**
   * A view that was known to be the newest one within this time needs no fetch;
   * 0 by default.
   */
  readonly currentMilliseconds?: number;
}

/**
 * Distributes views to every VM. The leader pushes changes down a tree, and
 * each VM fetches what it may have missed from its parent and its neighbours.
 * The index of a VM's view never decreases.
 */
export class ViewDistributor {
  /** The active view. On a VM with a disk it has been synced there. */
  readonly view: Observable<ClusterView>;
  /**
   * The newest view, which is forwarded even before this VM's own disk has
   * synced it.
   */
  private readonly newest: Observable<ClusterView>;
  private readonly history: ViewHistory;
  private tree: DistributionTree;
  private pushers: readonly ViewPusher[] = [];
  private root: string | undefined;
  /** Latest time at which the active view is known to have been the newest. */
  private knownCurrentAt = -Infinity;
  private fetchedAt = -Infinity;
  /** Fetches since the view was last learned to be current. */
  private fetchCount = 0;
  private stopFetching: Unsubscribe = () => undefined;
  /** Whether a fetch that may be answered with an update is unanswered. */
  private awaitsUpdate = false;
  /** Children that currently do not answer pushes. */
  private readonly unreachableChildren = new Set<string>();
  private stopped = false;
  private readonly refresher: ViewRefresher;

  private constructor(
    private readonly options: ViewDistributorOptions,
    first: ClusterView,
  ) {
    this.view = Observable.of(first);
    this.newest = Observable.of(first);
    this.history = ViewHistory.of(first);
    this.tree = DistributionTree.of(options.machines.current);
    this.refresher = ViewRefresher.create({
      ...options,
      root: () => this.root,
      knownCurrentAt: () => this.knownCurrentAt,
      fetchFrom: other => this.fetchUpdateFrom(other),
    });
  }

  /** Starts from the stored view, if there is one. */
  static async start(
    options: ViewDistributorOptions,
  ): Promise<ViewDistributor> {
    const {network, log, machines} = options;
    const first = (await options.store?.load()) ?? EMPTY_VIEW;
    const distributor = new ViewDistributor(options, first);
    network.handle(PUSH_VIEW, async ({root, update}) => {
      distributor.setRoot(root);
      distributor.applySent(update);
      return Either.of({index: distributor.newest.current.index});
    });
    network.handle(FETCH_VIEW, async request =>
      Either.of(distributor.fetchedViewSince(request)),
    );
    machines.subscribe(current => {
      distributor.tree = DistributionTree.of(current);
      distributor.unreachableChildren.clear();
      distributor.updatePushers();
    });
    log?.leading.subscribe(() => distributor.becomeRootIfLeading());
    log?.state.subscribe(({view}) => distributor.adoptView(view));
    if (log !== undefined) distributor.adoptView(log.state.current.view);
    distributor.becomeRootIfLeading();
    void distributor.startFetching();
    return distributor;
  }

  /**
   * Time since the active view was known to be the newest one, as far as this
   * VM can tell; `Infinity` if it never was. The VMs' clocks are not compared:
   * each VM on the path measures from the time of its own request.
   */
  get ageMilliseconds(): number {
    const isNewestActive = this.view.current.index >= this.newest.current.index;
    return isNewestActive ? this.newestViewAge() : this.knownAge();
  }

  /**
   * Resolves once a view is active that has all changes acknowledged before
   * this call, or the time is over.
   */
  refresh(timeoutMilliseconds: number): Promise<void> {
    return this.refresher.refresh(timeoutMilliseconds);
  }

  /** Stops pushing and fetching. */
  stop(): void {
    this.stopped = true;
    this.stopFetching();
    for (const pusher of this.pushers) pusher.stop();
  }

  /** The age of the newest view, which may not be active yet. */
  private newestViewAge(): number {
    const logAge = this.options.log?.stateAgeMilliseconds ?? Infinity;
    return Math.min(logAge, this.knownAge());
  }

  private knownAge(): number {
    return this.options.timer.now() - this.knownCurrentAt;
  }

  private becomeRootIfLeading(): void {
    const {log, self} = this.options;
    if (log?.leading.current) this.setRoot(self);
  }

  private adoptView(view: ClusterView): void {
    if (view.index <= this.newest.current.index) return;
    this.history.add(view);
    this.newest.set(view);
    void this.activateView(view);
  }

  /**
   * Makes a view the active one. It is synced before that, so that a restart
   * does not return to an older one.
   */
  private async activateView(view: ClusterView): Promise<void> {
    await this.options.store?.save(view);
    if (view.index > this.view.current.index) this.view.set(view);
  }

  private applySent(sent: ViewUpdate | PackedUpdate): void {
    if (sent.kind !== 'packed') {
      this.applyUpdate(sent);
      return;
    }
    const update = unpackUpdate(sent);
    if (update === undefined) {
      this.options.logger.warn('ignoring a malformed view update', {});
      return;
    }
    const before = this.newest.current.index;
    this.applyUpdate(update);
    const isApplied = this.newest.current.index > before;
    if (isApplied) this.history.keepPacked(update, sent);
  }

  private applyUpdate(update: ViewUpdate): void {
    if (update.kind === 'full') {
      this.adoptView(update.view);
      return;
    }
    const {delta} = update;
    const {current} = this.newest;
    if (delta.fromIndex === current.index) {
      this.adoptView(applyDelta(current, delta));
    }
  }

  private setRoot(root: string): void {
    if (this.root === root) return;
    this.root = root;
    this.updatePushers();
  }

  /**
   * Starts one push task per target and stops those that are no longer needed.
   */
  private updatePushers(): void {
    const {self, network, timer} = this.options;
    const {root, newest: view, history} = this;
    if (root === undefined || this.stopped) return;
    const targets = this.pushTargetsOf(self, root);
    const retained = this.pushers.filter(pusher =>
      targets.some(target => isSameMachine(target, pusher.machine)),
    );
    for (const pusher of this.pushers) {
      if (!retained.includes(pusher)) pusher.stop();
    }
    const context = {
      network,
      timer,
      view,
      history,
      root: () => this.root ?? self,
      reportReachability: (name: string, reachable: boolean) =>
        this.setReachable(name, reachable),
    };
    const added = targets
      .filter(
        target => !retained.some(({machine}) => isSameMachine(target, machine)),
      )
      .map(target => ViewPusher.start(target, context));
    this.pushers = [...retained, ...added];
  }

  /**
   * Returns the children; below an unreachable child also its children, and so
   * on.
   */
  private pushTargetsOf(name: string, root: string): readonly VirtualMachine[] {
    const targets = [...this.tree.childrenOf(name, root)];
    for (const target of targets) {
      if (!this.unreachableChildren.has(target.name)) continue;
      const grandchildren = this.tree.childrenOf(target.name, root);
      if (targets.length + grandchildren.length > MAXIMUM_PUSH_TARGETS) break;
      targets.push(...grandchildren);
    }
    return targets;
  }

  private setReachable(name: string, reachable: boolean): void {
    if (this.unreachableChildren.has(name) !== reachable) return;
    if (reachable) this.unreachableChildren.delete(name);
    else this.unreachableChildren.add(name);
    this.updatePushers();
  }

  private fetchedViewSince({index, acceptsPacked}: ViewRequest): FetchedView {
    const {history} = this;
    const {current} = this.newest;
    const updateFrom = acceptsPacked
      ? () => history.packedUpdateFrom(index)
      : () => history.updateFrom(index);
    const update = current.index > index ? updateFrom() : null;
    return {
      index: current.index,
      ageMilliseconds: Math.min(this.newestViewAge(), Number.MAX_SAFE_INTEGER),
      root: this.root ?? null,
      update,
    };
  }

  /** Fetches at short intervals until the view is current, then when due. */
  private async startFetching(): Promise<void> {
    const {timer} = this.options;
    while (!this.stopped && this.knownCurrentAt === -Infinity) {
      this.fetch();
      await timer.sleep(FIRST_FETCH_INTERVAL_MILLISECONDS);
    }
    if (this.stopped) return;
    this.stopFetching = timer.every(FETCH_CHECK_MILLISECONDS, () =>
      this.fetchIfDue(),
    );
  }

  private fetchIfDue(): void {
    const {timer, fetchMilliseconds, currentMilliseconds = 0} = this.options;
    if (this.ageMilliseconds < currentMilliseconds) return;
    const interval = fetchMilliseconds ?? FETCH_INTERVAL_MILLISECONDS;
    const isDue =
      timer.now() - this.fetchedAt > interval - FETCH_CHECK_MILLISECONDS / 2;
    if (isDue) this.fetch();
  }

  private fetch(): void {
    this.fetchedAt = this.options.timer.now();
    const other = this.nextFetchTarget();
    // The next fetch must not wait for a VM that does not answer.
    if (other !== undefined) void this.fetchFrom(other);
  }

  /**
   * Returns the parent first and then on every other call, and otherwise the
   * neighbours in turn.
   */
  private nextFetchTarget(): VirtualMachine | undefined {
    const {self} = this.options;
    this.fetchCount += 1;
    const isParentsTurn = this.fetchCount % 2 === 1;
    const parent =
      this.root === undefined ? undefined : this.tree.parentOf(self, this.root);
    if (parent !== undefined && isParentsTurn) return parent;
    const neighbours = this.tree.neighboursOf(self);
    return neighbours[(this.fetchCount >> 1) % Math.max(1, neighbours.length)];
  }

  private async fetchFrom(other: VirtualMachine): Promise<void> {
    // A large update that takes longer than the interval must not be requested
    // again meanwhile: the link would carry nothing else.
    const wantsUpdate = !this.awaitsUpdate;
    if (wantsUpdate) this.awaitsUpdate = true;
    const sentAt = this.options.timer.now();
    const fetched = await this.callForView(
      other,
      wantsUpdate ? this.newest.current.index : NO_UPDATE_INDEX,
    );
    if (wantsUpdate) this.awaitsUpdate = false;
    if (fetched !== undefined) void this.applyFetched(fetched, sentAt);
  }

  /** Fetches also while the answer to a periodic fetch is awaited. */
  private async fetchUpdateFrom(
    other: VirtualMachine,
  ): Promise<FetchedView | undefined> {
    const sentAt = this.options.timer.now();
    const fetched = await this.callForView(other, this.newest.current.index);
    if (fetched === undefined) return undefined;
    await this.applyFetched(fetched, sentAt);
    return this.view.current.index >= fetched.index ? fetched : undefined;
  }

  private async callForView(
    other: VirtualMachine,
    index: number,
  ): Promise<FetchedView | undefined> {
    const answer = await this.options.network.call(
      other.peerAddress,
      FETCH_VIEW,
      {index, acceptsPacked: true},
      FETCH_TIMEOUT_MILLISECONDS,
    );
    return this.stopped ? undefined : answer.toMaybe().extract();
  }

  private async applyFetched(
    fetched: FetchedView,
    sentAt: number,
  ): Promise<void> {
    if (fetched.update !== null) this.applySent(fetched.update);
    if (fetched.root !== null && this.root === undefined) {
      this.setRoot(fetched.root);
    }
    if (fetched.ageMilliseconds >= Number.MAX_SAFE_INTEGER) return;
    if (this.newest.current.index < fetched.index) return;
    // The age applies to the fetched view, which must be active first.
    await this.view.waitUntil(({index}) => index >= fetched.index);
    const currentAt = sentAt - fetched.ageMilliseconds;
    this.knownCurrentAt = Math.max(this.knownCurrentAt, currentAt);
    const {currentMilliseconds = 0} = this.options;
    if (this.ageMilliseconds < currentMilliseconds) this.fetchCount = 0;
  }
}

function isSameMachine(left: VirtualMachine, right: VirtualMachine): boolean {
  return left.name === right.name && left.incarnation === right.incarnation;
}
