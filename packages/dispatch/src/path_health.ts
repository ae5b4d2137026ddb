import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {PING} from '@apricotlock/work';

const PING_TIMEOUT_MILLISECONDS = 120;
/** How often a VM that did not answer is asked again. */
const RETRY_MILLISECONDS = 150;

/** What watching paths needs. */
export interface PathHealthOptions {
  readonly self: string;
  readonly machines: Observable<readonly VirtualMachine[]>;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/**
 * Which VMs answer. A VM is asked for a sign of life once work there takes
 * long: the work may be long, or the VM lost. One that is lost is asked again
 * and again in the background, so that no caller's work has to find out.
 */
export class PathHealth {
  private readonly lost = new Set<string>();
  private readonly asking = new Map<string, Promise<boolean>>();

  private constructor(private readonly options: PathHealthOptions) {}

  /** All VMs count as answering. */
  static create(options: PathHealthOptions): PathHealth {
    return new PathHealth(options);
  }

  /** Whether a VM answered when it was asked last. */
  isGood(machine: string): boolean {
    return !this.lost.has(machine);
  }

  /** Asks a VM for a sign of life; `false` if none comes. */
  check(machine: string): Promise<boolean> {
    if (machine === this.options.self) return Promise.resolve(true);
    const known = this.asking.get(machine);
    if (known !== undefined) return known;
    const asked = this.ask(machine).finally(() => this.asking.delete(machine));
    this.asking.set(machine, asked);
    return asked;
  }

  /** The link to a VM broke. */
  broken(machine: string): void {
    if (machine === this.options.self) return;
    this.setLost(machine, 'the link broke');
    void this.check(machine);
  }

  private async ask(name: string): Promise<boolean> {
    const {machines, network} = this.options;
    const machine = machines.current.find(each => each.name === name);
    if (machine === undefined) {
      this.lost.delete(name);
      return false;
    }
    const answer = await network.call(
      machine.peerAddress,
      PING,
      {},
      PING_TIMEOUT_MILLISECONDS,
    );
    if (answer.isRight()) {
      this.setGood(name);
      return true;
    }
    this.setLost(name, 'no sign of life');
    return false;
  }

  private setGood(machine: string): void {
    if (!this.lost.delete(machine)) return;
    this.options.logger.info('a VM answers again', {name: machine});
  }

  private setLost(machine: string, reason: string): void {
    const {logger, timer} = this.options;
    if (!this.lost.has(machine)) {
      this.lost.add(machine);
      logger.warn('a VM does not answer', {name: machine, reason});
    }
    timer.once(RETRY_MILLISECONDS, () => {
      if (this.lost.has(machine)) void this.check(machine);
    });
  }
}
