import {TimerService} from '@apricotlock/timer';
import {MachineLayout} from './layout.js';
import {SystemUnderTest} from './system_under_test.js';

const POLL_INTERVAL_MILLISECONDS = 50;

/** Polls the catalogue version of every entry VM and counts decreases. */
export class CatalogueVersionMonitor {
  private readonly versions = new Map<string, number>();
  private regressions = 0;
  private stopped = false;
  private readonly tasks: ReadonlyArray<Promise<void>>;

  private constructor(
    private readonly system: SystemUnderTest,
    private readonly timer: TimerService,
  ) {
    const {machines} = system.layout;
    this.tasks = machines.map(machine => this.pollVersion(machine));
  }

  /** Starts polling. */
  static start(
    system: SystemUnderTest,
    timer: TimerService,
  ): CatalogueVersionMonitor {
    return new CatalogueVersionMonitor(system, timer);
  }

  /** Stops polling and returns how often a VM reported a decreased version. */
  async finish(): Promise<number> {
    this.stopped = true;
    await Promise.all(this.tasks);
    return this.regressions;
  }

  private async pollVersion(machine: MachineLayout): Promise<void> {
    while (!this.stopped) {
      const status = await this.system.operatorClient(machine).status();
      status.ifRight(({catalogueVersion}) =>
        this.recordVersion(machine.name, catalogueVersion),
      );
      await this.timer.sleep(POLL_INTERVAL_MILLISECONDS);
    }
  }

  private recordVersion(machine: string, version: number): void {
    const highest = this.versions.get(machine) ?? 0;
    if (version < highest) this.regressions += 1;
    this.versions.set(machine, Math.max(highest, version));
  }
}
