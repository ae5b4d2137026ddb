import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';

/** How long a VM that was lost may still hold connections. */
const REMEMBERED_MILLISECONDS = 10_000;

/** VMs that were lost lately. A VM may only seem lost, and work on. */
export class FormerMachines {
  private known: readonly VirtualMachine[];
  private lost: ReadonlyArray<{
    readonly machine: VirtualMachine;
    readonly lostAt: number;
  }> = [];

  private constructor(
    machines: Observable<readonly VirtualMachine[]>,
    private readonly timer: TimerService,
  ) {
    this.known = machines.current;
    machines.subscribe(current => this.update(current));
  }

  /** Watches membership from now on. */
  static watch(
    machines: Observable<readonly VirtualMachine[]>,
    timer: TimerService,
  ): FormerMachines {
    return new FormerMachines(machines, timer);
  }

  /** Those that were lost lately and have not come back. */
  get current(): readonly VirtualMachine[] {
    const since = this.timer.now() - REMEMBERED_MILLISECONDS;
    return this.lost
      .filter(({lostAt}) => lostAt > since)
      .map(({machine}) => machine);
  }

  private update(current: readonly VirtualMachine[]): void {
    const names = new Set(current.map(({name}) => name));
    const lostAt = this.timer.now();
    const newlyLost = this.known
      .filter(({name}) => !names.has(name))
      .map(machine => ({machine, lostAt}));
    this.lost = [...this.lost, ...newlyLost].filter(
      ({machine}) => !names.has(machine.name),
    );
    this.known = current;
  }
}
