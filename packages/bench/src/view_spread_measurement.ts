import {Logger} from '@apricotlock/logging';
import {SingleNodeControlLog, ViewDistributor} from '@apricotlock/control';
import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {CatalogueEntry, VirtualMachine} from '@apricotlock/topology';
import {MemoryPeerHub, MemoryPeerNetwork} from './memory_peer_network.js';

const DATABASES = 200;
const SETTLE_MILLISECONDS = 2_000;
const STEADY_MILLISECONDS = 5_000;
const CHANGES = 20;
const POLL_MILLISECONDS = 1;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Cost of distributing views to a number of VMs. */
export interface ViewSpreadCost {
  readonly machines: number;
  /** Bytes sent and received by one idle VM, including headers. */
  readonly bytesASecond: number;
  /** Processor time of one idle VM, in percent of a core, without sockets. */
  readonly corePercent: number;
  /** Longest time from proposing a change until all VMs have it. */
  readonly inForceMilliseconds: number;
  /** Median time from proposing a change until all VMs have it. */
  readonly medianInForceMilliseconds: number;
  /** Bytes sent and received by one VM for each change, on average. */
  readonly bytesAChange: number;
  /** Bytes sent and received for each change by the VM with the most. */
  readonly mostBytesAChange: number;
  /** Processor time of one VM for each change, on average, in microseconds. */
  readonly microsecondsAChange: number;
}

/** Runs VMs in one process that distribute views of 200 databases. */
export class ViewSpreadMeasurement {
  private readonly log = SingleNodeControlLog.create('vm-1');
  private readonly networks: MemoryPeerNetwork[] = [];
  private readonly nodes: ViewDistributor[] = [];

  private constructor(private readonly timer: TimerService) {}

  /** Measures view distribution to `count` VMs. */
  static async run(
    count: number,
    timer: TimerService,
  ): Promise<ViewSpreadCost> {
    const measurement = new ViewSpreadMeasurement(timer);
    await measurement.start(count);
    await measurement.measureChange(0);
    await timer.sleep(SETTLE_MILLISECONDS);
    const steady = await measurement.measureSteadyCost(count);
    const changes = await measurement.measureChangeCost(count);
    for (const node of measurement.nodes) node.stop();
    return {machines: count, ...steady, ...changes};
  }

  private async start(count: number): Promise<void> {
    const hub = MemoryPeerHub.create();
    const machines = Observable.of<readonly VirtualMachine[]>(
      Array.from({length: count}, (_, index) => createMachine(index + 1)),
    );
    for (const {name, peerAddress} of machines.current) {
      const network = hub.join(peerAddress.port);
      this.networks.push(network);
      const node = await ViewDistributor.start({
        logger: Logger.silent(),
        self: name,
        network,
        timer: this.timer,
        machines,
        log: name === 'vm-1' ? this.log : undefined,
        store: undefined,
      });
      this.nodes.push(node);
    }
  }

  private async measureSteadyCost(count: number) {
    const bytesBefore = this.totalBytes();
    const before = process.cpuUsage();
    await this.timer.sleep(STEADY_MILLISECONDS);
    const {user, system} = process.cpuUsage(before);
    const bytes = this.totalBytes() - bytesBefore;
    const processorMilliseconds =
      (user + system) / MICROSECONDS_PER_MILLISECOND;
    return {
      bytesASecond: (bytes / count / STEADY_MILLISECONDS) * 1_000,
      corePercent: (processorMilliseconds / count / STEADY_MILLISECONDS) * 100,
    };
  }

  private async measureChangeCost(count: number) {
    const bytesBefore = this.networks.map(({bytes}) => bytes);
    const before = process.cpuUsage();
    const times: number[] = [];
    for (let change = 1; change <= CHANGES; change++) {
      times.push(await this.measureChange(change));
    }
    const {user, system} = process.cpuUsage(before);
    const bytes = this.networks.map(
      (network, index) => network.bytes - (bytesBefore[index] ?? 0),
    );
    times.sort((left, right) => left - right);
    const sum = bytes.reduce((total, value) => total + value, 0);
    return {
      inForceMilliseconds: times.at(-1) ?? 0,
      medianInForceMilliseconds: times[CHANGES / 2] ?? 0,
      bytesAChange: sum / count / CHANGES,
      mostBytesAChange: Math.max(...bytes) / CHANGES,
      microsecondsAChange: (user + system) / count / CHANGES,
    };
  }

  /** Proposes a change and returns the milliseconds until all VMs have it. */
  private async measureChange(version: number): Promise<number> {
    const startedAt = this.timer.now();
    await this.log.propose({
      kind: 'putCatalogue',
      origin: {changeId: `change-${version}`, actor: 'bench', at: 0},
      baseVersion: version,
      entries: createEntries(version),
    });
    const {index} = this.log.state.current.view;
    while (this.nodes.some(({view}) => view.current.index < index)) {
      await this.timer.sleep(POLL_MILLISECONDS);
    }
    return this.timer.now() - startedAt;
  }

  private totalBytes(): number {
    return this.networks.reduce((total, {bytes}) => total + bytes, 0);
  }
}

/** Returns the entries of a version, which changes the limits of one. */
function createEntries(version: number): readonly CatalogueEntry[] {
  return Array.from({length: DATABASES}, (_, index) => ({
    name: `booking-${index}`,
    owner: 'counter',
    class: 'critical',
    database: `booking-ledger-${index}`,
    members: 3,
    limits: {
      connections: index < version ? 15 : 16,
      slots: 2,
      queueLength: 1_000,
      queueMilliseconds: 2_000,
    },
  }));
}

function createMachine(index: number): VirtualMachine {
  const address = {host: '127.0.0.1', port: index};
  return {
    name: `vm-${index}`,
    incarnation: 1,
    dataCentre: 'catania',
    peerAddress: address,
    operatorAddress: address,
    controlVoter: index === 1,
    state: 'serving',
  };
}
