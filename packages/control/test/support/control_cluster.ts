import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {
  ControlCommand,
  RandomSource,
  ReplicatedControlLog,
} from '../../src/index.js';
import {FakeNetwork} from './fake_network.js';
import {MemoryFolder} from './memory_folder.js';

const POLL_MILLISECONDS = 5;
const LIMIT_MILLISECONDS = 10_000;

/** Short, so that the tests are; the proportions are those of the product. */
const TIMINGS = {
  heartbeatMilliseconds: 15,
  electionMinimumMilliseconds: 100,
  electionMaximumMilliseconds: 200,
  callMilliseconds: 150,
  proposeMilliseconds: 1_500,
  replaceMilliseconds: 400,
  repairMilliseconds: 30,
};

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
  ) {
    const machines = names.map(name => this.machineOf(name));
    this.machines = Observable.of<readonly VirtualMachine[]>(machines);
  }

  /** Starts `voters` first voters and `spares` more VMs with disks. */
  static async start(voters: number, spares = 0): Promise<ControlCluster> {
    const names = Array.from(
      {length: voters + spares},
      (_, index) => `vm-${index + 1}`,
    );
    const cluster = new ControlCluster(names.slice(0, voters), names);
    for (const name of names) await cluster.startOne(name);
    return cluster;
  }

  machineOf(name: string): VirtualMachine {
    const address = {host: '127.0.0.1', port: this.portOf(name)};
    return {
      name,
      incarnation: 1,
      dataCentre: 'catania',
      peerAddress: address,
      operatorAddress: address,
      controlVoter: true,
      state: 'serving',
    };
  }

  portOf(name: string): number {
    return Number(name.replace('vm-', ''));
  }

  /** Starts a VM's process on its disk, a new one if it has none. */
  async startOne(name: string): Promise<void> {
    const disk = this.disks.get(name) ?? MemoryFolder.create();
    this.disks.set(name, disk);
    this.starts += 1;
    const {starts} = this;
    const started = await ReplicatedControlLog.start({
      self: name,
      dataCentre: 'catania',
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
      failed: () => undefined,
      timings: TIMINGS,
    });
    this.logs.set(name, started.unsafeCoerce());
  }

  /** The process is gone at once; what its disk has not synced is lost. */
  kill(name: string): void {
    this.network.leave(this.portOf(name));
    const disk = this.disks.get(name) as MemoryFolder;
    disk.crashAt = 0;
    void this.logs.get(name)?.stop();
    this.logs.delete(name);
    this.disks.set(name, disk.afterCrash(RandomSource.of(this.starts)));
  }

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

  /** Waits for a leader, other than some. */
  async leader(except: readonly string[] = []): Promise<string> {
    let found: string | undefined;
    await this.until('a leader', () => {
      found = [...this.logs.keys()].find(
        name => !except.includes(name) && this.log(name).leading.current,
      );
      return found !== undefined;
    });
    return found as string;
  }

  async until(what: string, test: () => boolean): Promise<void> {
    const deadline = this.timer.now() + LIMIT_MILLISECONDS;
    while (!test()) {
      if (this.timer.now() > deadline) throw new Error(`${what}: not in time`);
      await this.timer.sleep(POLL_MILLISECONDS);
    }
  }

  versionAt(name: string): number {
    return this.log(name).state.current.view.catalogue.version;
  }
}

/** An edit of the catalogue. */
export function edit(changeId: string, baseVersion: number): ControlCommand {
  const origin = {changeId, actor: 'operator', at: 1};
  return {kind: 'putCatalogue', origin, baseVersion, entries: []};
}
