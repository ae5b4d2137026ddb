import {Either} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, EMPTY_VIEW, VirtualMachine} from '@apricotlock/topology';
import {ControlLog} from './control_log.js';
import {FETCH_VIEW, FetchedView, PUSH_VIEW} from './control_messages.js';
import {FanOut} from './fan_out.js';
import {applyDelta} from './view_delta.js';
import {ViewHistory, ViewUpdate} from './view_history.js';
import {ViewPusher} from './view_pusher.js';
import {ViewStore} from './view_store.js';

const FETCH_TIMEOUT_MILLISECONDS = 1_000;
/** To how many VMs one pushes at most, those behind lost ones counted. */
const MAXIMUM_PUSHED = 64;
const FETCH_PERIOD_MILLISECONDS = 700;
const FIRST_FETCH_PERIOD_MILLISECONDS = 50;

/** What spreading views needs. */
export interface ViewDistributorOptions {
  readonly self: string;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly machines: Observable<readonly VirtualMachine[]>;
  /** The log, on a control VM. */
  readonly log: ControlLog | undefined;
  /** Where the newest view is kept, on a VM with a disk. */
  readonly store: ViewStore | undefined;
  /** How often each VM asks another one for what it may have missed. */
  readonly fetchMilliseconds?: number;
}

/**
 * Brings views to every VM: the leader pushes what changed down a tree, and
 * each VM asks its parent and its neighbours for what it may have missed. The
 * view of a VM only ever goes up.
 */
export class ViewDistributor {
  /** The view in force: on a VM with a disk it is synced there. */
  readonly view: Observable<ClusterView>;
  /** The newest view, which is passed on while the own disk still works. */
  private readonly newest: Observable<ClusterView>;
  private readonly history: ViewHistory;
  private fanOut: FanOut;
  private pushers: readonly ViewPusher[] = [];
  private root: string | undefined;
  private currentAt = -Infinity;
  private asked = 0;
  /** Children that take no views now. */
  private readonly lost = new Set<string>();
  private stopped = false;

  private constructor(
    private readonly options: ViewDistributorOptions,
    first: ClusterView,
  ) {
    this.view = Observable.of(first);
    this.newest = Observable.of(first);
    this.history = ViewHistory.of(first);
    this.fanOut = FanOut.over(options.machines.current);
  }

  /** Starts from the view that was kept. */
  static async start(
    options: ViewDistributorOptions,
  ): Promise<ViewDistributor> {
    const {network, log, machines} = options;
    const first = (await options.store?.load()) ?? EMPTY_VIEW;
    const distributor = new ViewDistributor(options, first);
    network.handle(PUSH_VIEW, async ({root, update}) => {
      distributor.setRoot(root);
      distributor.takeUpdate(update);
      return Either.of({index: distributor.newest.current.index});
    });
    network.handle(FETCH_VIEW, async ({index}) =>
      Either.of(distributor.answerTo(index)),
    );
    machines.subscribe(current => {
      distributor.fanOut = FanOut.over(current);
      distributor.lost.clear();
      distributor.choosePushers();
    });
    log?.leading.subscribe(() => distributor.lead());
    log?.state.subscribe(({view}) => distributor.take(view));
    if (log !== undefined) distributor.take(log.state.current.view);
    distributor.lead();
    void distributor.fetchAgainAndAgain();
    return distributor;
  }

  /**
   * How long ago the view was surely the newest one, as far as this VM can
   * tell; `Infinity` if it never could. No clocks are compared: each VM on the
   * way counts from when it asked.
   */
  get ageMilliseconds(): number {
    const inForce = this.view.current.index >= this.newest.current.index;
    return inForce ? this.newestAgeMilliseconds() : this.askedAge();
  }

  /** Ends the tasks. */
  stop(): void {
    this.stopped = true;
    for (const pusher of this.pushers) pusher.stop();
  }

  /** The age of the newest view, which need not be in force yet. */
  private newestAgeMilliseconds(): number {
    const {log} = this.options;
    const asked = this.askedAge();
    return log?.leading.current ? Math.min(log.ageMilliseconds, asked) : asked;
  }

  private askedAge(): number {
    return this.options.timer.now() - this.currentAt;
  }

  private lead(): void {
    const {log, self} = this.options;
    if (log?.leading.current) this.setRoot(self);
  }

  private take(view: ClusterView): void {
    if (view.index <= this.newest.current.index) return;
    this.history.add(view);
    this.newest.set(view);
    void this.putInForce(view);
  }

  /** A view that counted must count after a restart too: it is synced first. */
  private async putInForce(view: ClusterView): Promise<void> {
    await this.options.store?.keep(view);
    if (view.index > this.view.current.index) this.view.set(view);
  }

  private takeUpdate(update: ViewUpdate): void {
    if (update.kind === 'full') {
      this.take(update.view);
      return;
    }
    const {delta} = update;
    const {current} = this.newest;
    if (delta.fromIndex === current.index) {
      this.take(applyDelta(current, delta));
    }
  }

  private setRoot(root: string): void {
    if (this.root === root) return;
    this.root = root;
    this.choosePushers();
  }

  /** One task for each child in the tree. */
  private choosePushers(): void {
    const {self, network, timer} = this.options;
    const {root, newest: view, history} = this;
    if (root === undefined || this.stopped) return;
    const children = this.targetsFrom(self, root);
    const kept = this.pushers.filter(pusher =>
      children.some(child => isSame(child, pusher.machine)),
    );
    for (const gone of this.pushers) {
      if (!kept.includes(gone)) gone.stop();
    }
    const context = {
      network,
      timer,
      view,
      history,
      root: () => this.root ?? self,
      reachable: (name: string, reachable: boolean) =>
        this.setReachable(name, reachable),
    };
    const added = children
      .filter(child => !kept.some(({machine}) => isSame(child, machine)))
      .map(child => ViewPusher.start(child, context));
    this.pushers = [...kept, ...added];
  }

  /** The children; behind a lost one its children, and so on. */
  private targetsFrom(name: string, root: string): readonly VirtualMachine[] {
    const targets = [...this.fanOut.childrenOf(name, root)];
    for (const target of targets) {
      if (!this.lost.has(target.name)) continue;
      const behind = this.fanOut.childrenOf(target.name, root);
      if (targets.length + behind.length > MAXIMUM_PUSHED) break;
      targets.push(...behind);
    }
    return targets;
  }

  private setReachable(name: string, reachable: boolean): void {
    if (this.lost.has(name) !== reachable) return;
    if (reachable) this.lost.delete(name);
    else this.lost.add(name);
    this.choosePushers();
  }

  private answerTo(index: number): FetchedView {
    const {current} = this.newest;
    const update =
      current.index > index ? this.history.updateFrom(index) : null;
    return {
      index: current.index,
      ageMilliseconds: Math.min(
        this.newestAgeMilliseconds(),
        Number.MAX_SAFE_INTEGER,
      ),
      root: this.root ?? null,
      update,
    };
  }

  private async fetchAgainAndAgain(): Promise<void> {
    const {timer} = this.options;
    while (!this.stopped) {
      const other = this.nextToAsk();
      // A VM that does not answer must not hold up asking the next one.
      if (other !== undefined) void this.fetchFrom(other);
      const first = this.currentAt === -Infinity;
      await timer.sleep(
        first
          ? FIRST_FETCH_PERIOD_MILLISECONDS
          : (this.options.fetchMilliseconds ?? FETCH_PERIOD_MILLISECONDS),
      );
    }
  }

  /** The parent every other time, and the neighbours in turn. */
  private nextToAsk(): VirtualMachine | undefined {
    const {self} = this.options;
    this.asked += 1;
    const parent =
      this.root === undefined
        ? undefined
        : this.fanOut.parentOf(self, this.root);
    if (parent !== undefined && this.asked % 2 === 0) return parent;
    const neighbours = this.fanOut.neighboursOf(self);
    return neighbours[(this.asked >> 1) % Math.max(1, neighbours.length)];
  }

  private async fetchFrom(other: VirtualMachine): Promise<void> {
    const {network, timer} = this.options;
    const sentAt = timer.now();
    const answer = await network.call(
      other.peerAddress,
      FETCH_VIEW,
      {index: this.newest.current.index},
      FETCH_TIMEOUT_MILLISECONDS,
    );
    if (this.stopped) return;
    answer.ifRight(fetched => void this.takeFetched(fetched, sentAt));
  }

  private async takeFetched(
    fetched: FetchedView,
    sentAt: number,
  ): Promise<void> {
    if (fetched.update !== null) this.takeUpdate(fetched.update);
    if (fetched.root !== null && this.root === undefined) {
      this.setRoot(fetched.root);
    }
    if (fetched.ageMilliseconds >= Number.MAX_SAFE_INTEGER) return;
    if (this.newest.current.index < fetched.index) return;
    // The age is told of the view in force: it must be that one first.
    await this.view.until(({index}) => index >= fetched.index);
    const currentAt = sentAt - fetched.ageMilliseconds;
    this.currentAt = Math.max(this.currentAt, currentAt);
  }
}

function isSame(left: VirtualMachine, right: VirtualMachine): boolean {
  return left.name === right.name && left.incarnation === right.incarnation;
}
