import {Either} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {PeerCall, PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {
  Address,
  formatAddress,
  VirtualMachine,
  VirtualMachineState,
} from '@apricotlock/topology';
import {Membership} from './membership.js';

const GOSSIP_PERIOD_MILLISECONDS = 150;
const SILENCE_LIMIT_MILLISECONDS = 1_500;
const CALL_TIMEOUT_MILLISECONDS = 500;

/** What one process has heard of another. */
interface Rumour {
  readonly machine: VirtualMachine;
  /** Counts up for as long as the process lives. */
  readonly heartbeat: number;
  readonly left: boolean;
}

interface Heard extends Rumour {
  readonly advancedAt: number;
}

const GOSSIP = PeerCall.define<readonly Rumour[], readonly Rumour[]>(
  'membership.gossip',
  candidate => (Array.isArray(candidate) ? (candidate as Rumour[]) : undefined),
  candidate => (Array.isArray(candidate) ? (candidate as Rumour[]) : undefined),
);

/** What gossip needs. */
export interface GossipOptions {
  readonly self: VirtualMachine;
  readonly seeds: readonly Address[];
  readonly network: PeerNetwork;
  readonly timer: TimerService;
}

/** Membership by exchanging heartbeats with one random process at a time. */
export class GossipMembership extends Membership {
  override readonly machines: Observable<readonly VirtualMachine[]>;
  private readonly heard = new Map<string, Heard>();
  private self: VirtualMachine;
  private heartbeat = 0;
  private left = false;

  private constructor(private readonly options: GossipOptions) {
    super();
    this.self = options.self;
    this.machines = Observable.of<readonly VirtualMachine[]>([options.self]);
  }

  /** Joins the others through the seeds. */
  static start(options: GossipOptions): GossipMembership {
    const membership = new GossipMembership(options);
    options.network.handle(GOSSIP, async rumours => {
      membership.merge(rumours);
      return Either.of(membership.rumours());
    });
    options.timer.every(GOSSIP_PERIOD_MILLISECONDS, () => {
      if (!membership.left) membership.round();
    });
    return membership;
  }

  override announce(state: VirtualMachineState): void {
    this.self = {...this.self, state};
    this.publish();
  }

  override async leave(): Promise<void> {
    this.left = true;
    this.heartbeat += 1;
    const targets = this.machines.current
      .filter(machine => machine.name !== this.self.name)
      .map(machine => this.exchange(machine.peerAddress));
    await Promise.all(targets);
  }

  private round(): void {
    this.heartbeat += 1;
    this.publish();
    const target = this.randomTarget();
    if (target !== undefined) void this.exchange(target);
  }

  private randomTarget(): Address | undefined {
    const own = formatAddress(this.self.peerAddress);
    const known = [...this.heard.values()].map(
      rumour => rumour.machine.peerAddress,
    );
    const targets = [...this.options.seeds, ...known].filter(
      address => formatAddress(address) !== own,
    );
    return targets[Math.floor(Math.random() * targets.length)];
  }

  private async exchange(target: Address): Promise<void> {
    const answer = await this.options.network.call(
      target,
      GOSSIP,
      this.rumours(),
      CALL_TIMEOUT_MILLISECONDS,
    );
    answer.ifRight(rumours => this.merge(rumours));
  }

  private rumours(): readonly Rumour[] {
    const {heartbeat, left, self} = this;
    return [...this.heard.values(), {machine: self, heartbeat, left}];
  }

  private merge(rumours: readonly Rumour[]): void {
    for (const rumour of rumours) {
      if (rumour.machine.name === this.self.name) continue;
      const known = this.heard.get(rumour.machine.name);
      if (known !== undefined && !isNewer(rumour, known)) continue;
      const advancedAt = this.options.timer.now();
      this.heard.set(rumour.machine.name, {...rumour, advancedAt});
    }
    this.publish();
  }

  private publish(): void {
    const now = this.options.timer.now();
    const alive = [...this.heard.values()].filter(
      rumour =>
        !rumour.left && now - rumour.advancedAt < SILENCE_LIMIT_MILLISECONDS,
    );
    const machines = [this.self, ...alive.map(rumour => rumour.machine)].sort(
      (left, right) => (left.name < right.name ? -1 : 1),
    );
    const before = JSON.stringify(this.machines.current);
    if (JSON.stringify(machines) !== before) this.machines.set(machines);
  }
}

function isNewer(rumour: Rumour, known: Rumour): boolean {
  const difference = rumour.machine.incarnation - known.machine.incarnation;
  return (
    difference > 0 || (difference === 0 && rumour.heartbeat > known.heartbeat)
  );
}
