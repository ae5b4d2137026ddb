import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {
  ControlCommand,
  FaultTolerance,
  RandomSource,
  ReplicatedControlLog,
} from '../../src/index.js';
import {FakeNetwork} from './fake_network.js';
import {MemoryFolder} from './memory_folder.js';

const POLL_INTERVAL_MILLISECONDS = 5;
const WAIT_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Short timings keep the tests fast; their proportions are those of production.
 */
const TIMINGS = {
  heartbeatIntervalMilliseconds: 15,
  electionMinimumMilliseconds: 100,
  electionMaximumMilliseconds: 200,
  callTimeoutMilliseconds: 150,
  proposalTimeoutMilliseconds: 1_500,
  replaceMilliseconds: 400,
  repairIntervalMilliseconds: 30,
};

/** Options of {@link ControlCluster}. */
export interface ClusterOptions {
  readonly faultTolerance?: FaultTolerance;
  /** The data centres over which the VMs are spread in turn. */
  readonly dataCentres?: readonly string[];
}

/** Control VMs in one process, on disks in memory. */
export class ControlCluster {
  readonly network = FakeNetwork.create();
  readonly timer = SystemTimerService.create();
  readonly disks = new Map<string, MemoryFolder>();
  readonly logs = new Map<string, ReplicatedControlLog>();
  readonly machines: Observable<readonly VirtualMachine[]>;
  private starts = 0;

  private constructor(
    private readonly voters: readonly string[],
    names: readonly string[],
    private readonly options: ClusterOptions,
  ) {
    const machines = names.map(name => this.machineOf(name));
    this.machines = Observable.of<readonly VirtualMachine[]>(machines);
  }

  /** Starts `voters` initial voters and `spares` more VMs with disks. */
  static async start(
    voters: number,
    spares = 0,
    options: ClusterOptions = {},
  ): Promise<ControlCluster> {
    const names = Array.from(
      {length: voters + spares},
      (_, index) => `vm-${index + 1}`,
    );
    const cluster = new ControlCluster(names.slice(0, voters), names, options);
    for (const name of names) await cluster.startVm(name);
    return cluster;
  }

  /** Returns the entry of a VM in the list of machines. */
  machineOf(name: string): VirtualMachine {
    const address = {host: '127.0.0.1', port: this.portOf(name)};
    return {
      name,
      incarnation: 1,
      dataCentre: this.dataCentreOf(name),
      peerAddress: address,
      operatorAddress: address,
      controlVoter: true,
      state: 'serving',
    };
  }

  dataCentreOf(name: string): string {
    const {dataCentres = ['catania']} = this.options;
    return dataCentres[(this.portOf(name) - 1) % dataCentres.length] as string;
  }

  /** Returns the names of the voters that a VM knows to be committed. */
  votersAt(name: string): readonly string[] {
    return this.log(name)
      .report()
      .members.filter(({role}) => role === 'voter')
      .map(member => member.name);
  }

  portOf(name: string): number {
    return Number(name.replace('vm-', ''));
  }

  /** Starts the process of a VM on its existing disk, or on a new one. */
  async startVm(name: string): Promise<void> {
    const disk = this.disks.get(name) ?? MemoryFolder.create();
    this.disks.set(name, disk);
    this.starts += 1;
    const {starts} = this;
    const started = await ReplicatedControlLog.start({
      self: name,
      dataCentre: this.dataCentreOf(name),
      faultTolerance: this.options.faultTolerance,
      initialVoters: this.voters.map(voter => ({
        name: voter,
        address: this.machineOf(voter).peerAddress,
      })),
      folder: disk,
      newDiskId: () => `disk-${starts}`,
      network: this.network.join(this.portOf(name)),
      machines: this.machines,
      timer: this.timer,
      random: RandomSource.of(starts),
      logger: Logger.silent(),
      timings: TIMINGS,
    });
    this.logs.set(name, started.unsafeCoerce());
  }

  /**
   * Ends a VM's process at once; data that its disk has not synced may be lost.
   */
  kill(name: string): void {
    this.network.leave(this.portOf(name));
    const disk = this.disks.get(name) as MemoryFolder;
    disk.crashAt = 0;
    void this.logs.get(name)?.stop();
    this.logs.delete(name);
    this.disks.set(name, disk.afterCrash(RandomSource.of(this.starts)));
  }

  /** Ends a VM's process and erases its disk. */
  wipe(name: string): void {
    this.kill(name);
    this.disks.delete(name);
  }

  async stop(): Promise<void> {
    for (const name of [...this.logs.keys()]) this.kill(name);
  }

  log(name: string): ReplicatedControlLog {
    return this.logs.get(name) as ReplicatedControlLog;
  }

  /** Waits for a leader that is not among `except`, and returns its name. */
  async waitForLeader(except: readonly string[] = []): Promise<string> {
    let found: string | undefined;
    await this.waitUntil('election of a leader', () => {
      found = [...this.logs.keys()].find(
        name => !except.includes(name) && this.log(name).leading.current,
      );
      return found !== undefined;
    });
    return found as string;
  }

  /**
   * Waits until a condition holds. After 10 s it throws an error that names
   * `what`, the expected event.
   */
  async waitUntil(what: string, condition: () => boolean): Promise<void> {
    const deadline = this.timer.now() + WAIT_TIMEOUT_MILLISECONDS;
    while (!condition()) {
      if (this.timer.now() > deadline) throw new Error(`${what}: timed out`);
      await this.timer.sleep(POLL_INTERVAL_MILLISECONDS);
    }
  }

  /** Returns the version of the catalogue as known to a VM. */
  versionAt(name: string): number {
    return this.log(name).state.current.view.catalogue.version;
  }
}

/** Returns a command that edits the catalogue. */
export function catalogueEdit(
  changeId: string,
  baseVersion: number,
): ControlCommand {
  const origin = {changeId, actor: 'operator', at: 1};
  return {kind: 'putCatalogue', origin, baseVersion, entries: []};
}
