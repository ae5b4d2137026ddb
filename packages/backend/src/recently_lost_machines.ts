import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';

/** How long a VM may still hold connections after it was lost. */
const RETENTION_MILLISECONDS = 10_000;

/**
 * Tracks entry VMs that recently disappeared from the membership. Such a VM may
 * still be running and hold connections to members.
 */
export class RecentlyLostMachines {
  private liveMachines: readonly VirtualMachine[];
  private lostMachines: ReadonlyArray<{
    readonly machine: VirtualMachine;
    readonly lostAt: number;
  }> = [];

  private constructor(
    machines: Observable<readonly VirtualMachine[]>,
    private readonly timer: TimerService,
  ) {
    this.liveMachines = machines.current;
    machines.subscribe(current => this.update(current));
  }

  /** Starts tracking changes of the membership. */
  static watch(
    machines: Observable<readonly VirtualMachine[]>,
    timer: TimerService,
  ): RecentlyLostMachines {
    return new RecentlyLostMachines(machines, timer);
  }

  /** VMs that were lost within the retention period and have not returned. */
  get current(): readonly VirtualMachine[] {
    const since = this.timer.now() - RETENTION_MILLISECONDS;
    return this.lostMachines
      .filter(({lostAt}) => lostAt > since)
      .map(({machine}) => machine);
  }

  private update(current: readonly VirtualMachine[]): void {
    const names = new Set(current.map(({name}) => name));
    const lostAt = this.timer.now();
    const newlyLost = this.liveMachines
      .filter(({name}) => !names.has(name))
      .map(machine => ({machine, lostAt}));
    this.lostMachines = [...this.lostMachines, ...newlyLost].filter(
      ({machine}) => !names.has(machine.name),
    );
    this.liveMachines = current;
  }
}
