import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {PING} from '@apricotlock/work';

const PING_TIMEOUT_MILLISECONDS = 120;
/** An unresponsive VM is pinged again after this time. */
const RETRY_INTERVAL_MILLISECONDS = 150;

/** Dependencies of the health checks. */
export interface VirtualMachineHealthOptions {
  readonly self: string;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/**
 * Tracks which VMs are responsive. A VM is pinged when work there takes long,
 * to tell slow work from an unresponsive VM. An unresponsive VM is pinged
 * periodically in the background, so that no work of a caller is sent there to
 * find out whether it is back.
 */
export class VirtualMachineHealth {
  private readonly unresponsive = new Set<string>();
  private readonly pendingChecks = new Map<string, Promise<boolean>>();
  private live = new Map<string, VirtualMachine>();
  /** VMs that membership took for dead or that have left. */
  private readonly vanished = new Set<string>();
  /** VMs that are back in the membership and have answered no ping since. */
  private readonly unverified = new Set<string>();

  private constructor(private readonly options: VirtualMachineHealthOptions) {
    this.trackMembership(options.machines.current);
    options.machines.subscribe(machines => this.trackMembership(machines));
  }

  /** Creates an instance that takes all VMs as responsive. */
  static create(options: VirtualMachineHealthOptions): VirtualMachineHealth {
    return new VirtualMachineHealth(options);
  }

  /**
   * Returns whether a VM is not known to be unresponsive. A VM that is back in
   * the membership is responsive once it has answered a ping, which is sent
   * when it is first asked for: after a partition has healed, datagrams arrive
   * before links work.
   */
  isResponsive(machine: string): boolean {
    if (this.unverified.has(machine)) {
      void this.checkLiveness(machine);
      return false;
    }
    return !this.unresponsive.has(machine);
  }

  /** Pings a VM. Resolves to whether it answered in time. */
  checkLiveness(machine: string): Promise<boolean> {
    if (machine === this.options.self) return Promise.resolve(true);
    const pending = this.pendingChecks.get(machine);
    if (pending !== undefined) return pending;
    const check = this.sendPing(machine).finally(() =>
      this.pendingChecks.delete(machine),
    );
    this.pendingChecks.set(machine, check);
    return check;
  }

  /** Marks a VM as unresponsive because its link broke, and pings it. */
  reportBrokenLink(machine: string): void {
    if (machine === this.options.self) return;
    this.markUnresponsive(machine, 'the link broke');
    void this.checkLiveness(machine);
  }

  private trackMembership(machines: readonly VirtualMachine[]): void {
    const {self, network} = this.options;
    const live = new Map(machines.map(machine => [machine.name, machine]));
    for (const [name, {peerAddress}] of this.live) {
      if (live.has(name)) continue;
      this.vanished.add(name);
      this.unverified.delete(name);
      network.closeIdleLink(peerAddress);
    }
    for (const name of live.keys()) {
      const isBack = this.vanished.delete(name) && name !== self;
      if (isBack) this.unverified.add(name);
    }
    this.live = live;
  }

  private async sendPing(name: string): Promise<boolean> {
    const {machines, network} = this.options;
    const machine = machines.current.find(each => each.name === name);
    if (machine === undefined) {
      this.unresponsive.delete(name);
      return false;
    }
    const answer = await network.call(
      machine.peerAddress,
      PING,
      {},
      PING_TIMEOUT_MILLISECONDS,
    );
    this.unverified.delete(name);
    if (answer.isRight()) {
      this.markResponsive(name);
      return true;
    }
    this.markUnresponsive(name, 'no answer to a ping');
    return false;
  }

  private markResponsive(machine: string): void {
    if (!this.unresponsive.delete(machine)) return;
    this.options.logger.info('VM is responsive again', {name: machine});
  }

  private markUnresponsive(machine: string, reason: string): void {
    const {logger, timer} = this.options;
    if (!this.unresponsive.has(machine)) {
      this.unresponsive.add(machine);
      logger.warn('VM is unresponsive', {name: machine, reason});
    }
    timer.once(RETRY_INTERVAL_MILLISECONDS, () => {
      if (this.unresponsive.has(machine)) void this.checkLiveness(machine);
    });
  }
}
