import {setImmediate} from 'node:timers/promises';
import {Either, Left} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {
  CallHandler,
  PeerCall,
  PeerError,
  SilentPeerNetwork,
} from '@apricotlock/peer';
import {
  ManualTimerService,
  TimerService,
  Unsubscribe,
} from '@apricotlock/timer';
import {
  ClusterView,
  EMPTY_VIEW,
  Organisation,
  Quota,
  VirtualMachine,
} from '@apricotlock/topology';
import {QuotaClient, QuotaCoordinator} from '../src/index.js';
import {coordinatorOf, shardOf} from '../src/quota_shards.js';

const LINK_MILLISECONDS = 2;
const CONFIRMATION_MILLISECONDS = 350;

/** The clocks of a VM, which runs nothing while it is frozen. */
export class VmTimer extends TimerService {
  private lost = 0;
  private frozenAt: number | undefined;
  private deferred: Array<() => void> = [];

  constructor(private readonly base: TimerService) {
    super();
  }

  override now(): number {
    return this.base.now() - this.lost;
  }

  override wallClock(): number {
    return this.base.now();
  }

  override once(milliseconds: number, action: () => void): Unsubscribe {
    return this.base.once(milliseconds, () => this.run(action));
  }

  override every(milliseconds: number, action: () => void): Unsubscribe {
    return this.base.every(milliseconds, () => {
      if (this.frozenAt === undefined) action();
    });
  }

  run(action: () => void): void {
    if (this.frozenAt === undefined) action();
    else this.deferred.push(action);
  }

  freeze(): void {
    this.frozenAt ??= this.base.now();
  }

  /** Ends a freeze; a suspension also stopped the monotonic clock. */
  thaw(wasSuspended: boolean): void {
    if (this.frozenAt === undefined) return;
    if (wasSuspended) this.lost += this.base.now() - this.frozenAt;
    this.frozenAt = undefined;
    for (const action of this.deferred.splice(0)) action();
  }
}

type AnyHandler = CallHandler<unknown, unknown>;

/** An entry VM of a {@link QuotaCluster}. */
export class QuotaVm extends SilentPeerNetwork {
  readonly timer: VmTimer;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly view = Observable.of<ClusterView>(EMPTY_VIEW);
  readonly client: QuotaClient;
  readonly coordinator: QuotaCoordinator;
  isConnectedToControl = true;
  private confirmedAt = 0;
  private readonly handlers = new Map<string, AnyHandler>();

  constructor(
    readonly name: string,
    private readonly cluster: QuotaCluster,
  ) {
    super();
    this.timer = new VmTimer(cluster.timer);
    this.machines = Observable.of(cluster.machines);
    this.timer.every(CONFIRMATION_MILLISECONDS, () => {
      if (this.isConnectedToControl) this.confirmedAt = this.timer.now();
    });
    const options = {
      self: name,
      machines: this.machines,
      view: this.view,
      viewAgeMilliseconds: () => this.timer.now() - this.confirmedAt,
      network: this,
      timer: this.timer,
    };
    this.coordinator = QuotaCoordinator.start(options);
    const {coordinator} = this;
    this.client = QuotaClient.create({...options, coordinator});
  }

  override handle<Request, Answer>(
    call: PeerCall<Request, Answer>,
    handler: CallHandler<Request, Answer>,
  ): void {
    this.handlers.set(call.name, handler as AnyHandler);
  }

  override call<Request, Answer>(
    to: VirtualMachine['peerAddress'],
    call: PeerCall<Request, Answer>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>> {
    const {cluster, timer} = this;
    const target = cluster.vms[to.port] as QuotaVm;
    return new Promise(resolve => {
      timer.once(timeoutMilliseconds, () =>
        resolve(Left({kind: 'noAnswer', reason: 'time limit'})),
      );
      cluster.deliver(this, target, async () => {
        const checked = call.checkRequest(request).unsafeCoerce();
        const handler = target.handlers.get(call.name) as AnyHandler;
        const answer = await handler(checked);
        cluster.deliver(target, this, () => {
          answer.ifRight(body => resolve(call.checkAnswer(body) as never));
        });
      });
    });
  }
}

/** Entry VMs in one process, with a network whose faults a test decides. */
export class QuotaCluster {
  readonly timer = ManualTimerService.create();
  readonly machines: readonly VirtualMachine[];
  readonly vms: readonly QuotaVm[];
  /** The times of the operations that ran. */
  readonly ranAt: number[] = [];
  organisation: Organisation;
  /** The VMs that a fault affects, with its kind. */
  readonly faults = new Map<QuotaVm, string>();
  /** The share of messages that are lost. */
  lossShare = 0;

  constructor(
    count: number,
    quota: Quota,
    private readonly random: () => number = () => 0,
  ) {
    this.machines = Array.from({length: count}, (_, index) => ({
      name: `vm${index}`,
      incarnation: 1,
      dataCentre: 'a',
      peerAddress: {host: 'test', port: index},
      operatorAddress: {host: 'test', port: index},
      controlVoter: false,
      state: 'serving' as const,
    }));
    this.organisation = {name: 'lone', keyDigests: [], priority: 0, quota};
    this.vms = this.machines.map(({name}) => new QuotaVm(name, this));
    this.setQuota(quota);
  }

  /** Puts a quota in force on all VMs. */
  setQuota(quota: Quota | undefined): void {
    this.organisation = {...this.organisation, quota};
    const organisations = [this.organisation];
    const catalogue = {...EMPTY_VIEW.catalogue, organisations};
    for (const {view} of this.vms) view.set({...EMPTY_VIEW, catalogue});
  }

  /** Returns the VM that coordinates the organisation. */
  get coordinator(): QuotaVm {
    const shard = shardOf(this.organisation.name);
    const owner = coordinatorOf(shard, this.machines);
    return this.vms.find(({name}) => name === owner?.name) as QuotaVm;
  }

  /** Lets callers of a VM start operations at a rate, from now on. */
  offer(vm: QuotaVm, perSecond: number, random: () => number): Unsubscribe {
    const period = 10;
    return vm.timer.every(period, () => {
      const expected = (perSecond * period) / 1_000;
      // Two draws make the number of operations vary as much as a few callers.
      let started = Math.floor(expected * 2 * random() + random());
      while (started-- > 0) void this.run(vm);
    });
  }

  async run(vm: QuotaVm): Promise<void> {
    const decision = await vm.client.acquire(this.organisation);
    if (decision.kind === 'granted') this.ranAt.push(this.timer.now());
  }

  /** Advances the time; the event loop runs after each millisecond. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed++) {
      await setImmediate();
      await this.timer.advanceAsync(1);
    }
    await setImmediate();
  }

  deliver(from: QuotaVm, to: QuotaVm, action: () => void): void {
    const isCut = [from, to].some(vm => this.faults.get(vm) === 'cut');
    if (isCut || this.random() < this.lossShare) return;
    this.timer.once(LINK_MILLISECONDS, () => to.timer.run(action));
  }
}

/** Returns the largest number of operations in any 5 s. */
export function largestWindow(ranAt: readonly number[]): number {
  let largest = 0;
  let first = 0;
  ranAt.forEach((at, index) => {
    while ((ranAt[first] as number) <= at - 5_000) first++;
    largest = Math.max(largest, index - first + 1);
  });
  return largest;
}

/** Returns a seeded generator of numbers from 0 up to 1 (mulberry32). */
export function randomFrom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
