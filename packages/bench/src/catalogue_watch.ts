import {TimerService} from '@apricotlock/timer';
import {MachineLayout} from './layout.js';
import {SystemUnderTest} from './system_under_test.js';

const PERIOD_MILLISECONDS = 50;

/** Watches the catalogue's version on every entry VM: it may only go up. */
export class CatalogueWatch {
  private readonly versions = new Map<string, number>();
  private reverted = 0;
  private stopped = false;
  private readonly tasks: ReadonlyArray<Promise<void>>;

  private constructor(
    private readonly system: SystemUnderTest,
    private readonly timer: TimerService,
  ) {
    const {machines} = system.layout;
    this.tasks = machines.map(machine => this.follow(machine));
  }

  /** Starts to watch. */
  static start(system: SystemUnderTest, timer: TimerService): CatalogueWatch {
    return new CatalogueWatch(system, timer);
  }

  /** Ends watching; gives how often a version went down on a VM. */
  async finish(): Promise<number> {
    this.stopped = true;
    await Promise.all(this.tasks);
    return this.reverted;
  }

  private async follow(machine: MachineLayout): Promise<void> {
    while (!this.stopped) {
      const status = await this.system.operator(machine).status();
      status.ifRight(({catalogueVersion}) =>
        this.note(machine.name, catalogueVersion),
      );
      await this.timer.sleep(PERIOD_MILLISECONDS);
    }
  }

  private note(machine: string, version: number): void {
    const before = this.versions.get(machine) ?? 0;
    if (version < before) this.reverted += 1;
    this.versions.set(machine, Math.max(before, version));
  }
}
