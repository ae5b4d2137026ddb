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
const MICROSECONDS_A_MILLISECOND = 1_000;

/** What spreading views costs, with a number of VMs. */
export interface ViewSpreadCost {
  readonly machines: number;
  /** Sent and received by one VM when nothing changes, headers included. */
  readonly bytesASecond: number;
  /** Processor time of one VM when nothing changes, without its sockets. */
  readonly corePercent: number;
  /** From the decision until every VM has it, at worst. */
  readonly inForceMilliseconds: number;
  /** The same, in the middle of the changes. */
  readonly medianInForceMilliseconds: number;
  /** Sent and received by one VM for a change, on average. */
  readonly bytesAChange: number;
  /** The same on the VM that has the most. */
  readonly mostBytesAChange: number;
  /** Processor time of all VMs for a change, for each VM, in microseconds. */
  readonly microsecondsAChange: number;
}

/** VMs in one process that spread views of some hundred databases. */
export class ViewSpreadMeasurement {
  private readonly log = SingleNodeControlLog.create('vm-1');
  private readonly networks: MemoryPeerNetwork[] = [];
  private readonly nodes: ViewDistributor[] = [];

  private constructor(private readonly timer: TimerService) {}

  /** Measures with `count` VMs. */
  static async run(
    count: number,
    timer: TimerService,
  ): Promise<ViewSpreadCost> {
    const measurement = new ViewSpreadMeasurement(timer);
    await measurement.start(count);
    await measurement.change(0);
    await timer.sleep(SETTLE_MILLISECONDS);
    const steady = await measurement.steadyCost(count);
    const changes = await measurement.changeCost(count);
    for (const node of measurement.nodes) node.stop();
    return {machines: count, ...steady, ...changes};
  }

  private async start(count: number): Promise<void> {
    const hub = MemoryPeerHub.create();
    const machines = Observable.of<readonly VirtualMachine[]>(
      Array.from({length: count}, (_, place) => machineAt(place + 1)),
    );
    for (const {name, peerAddress} of machines.current) {
      const network = hub.join(peerAddress.port);
      this.networks.push(network);
      const node = await ViewDistributor.start({
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

  private async steadyCost(count: number) {
    const bytesBefore = this.totalBytes();
    const before = process.cpuUsage();
    await this.timer.sleep(STEADY_MILLISECONDS);
    const {user, system} = process.cpuUsage(before);
    const bytes = this.totalBytes() - bytesBefore;
    const spent = (user + system) / MICROSECONDS_A_MILLISECOND;
    return {
      bytesASecond: (bytes / count / STEADY_MILLISECONDS) * 1_000,
      corePercent: (spent / count / STEADY_MILLISECONDS) * 100,
    };
  }

  private async changeCost(count: number) {
    const bytesBefore = this.networks.map(({bytes}) => bytes);
    const before = process.cpuUsage();
    const times: number[] = [];
    for (let change = 1; change <= CHANGES; change++) {
      times.push(await this.change(change));
    }
    const {user, system} = process.cpuUsage(before);
    const bytes = this.networks.map(
      (network, place) => network.bytes - (bytesBefore[place] ?? 0),
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

  /** Makes one change; gives the time until every VM has it. */
  private async change(version: number): Promise<number> {
    const startedAt = this.timer.now();
    await this.log.propose({
      kind: 'putCatalogue',
      origin: {changeId: `change-${version}`, actor: 'bench', at: 0},
      baseVersion: version,
      entries: entriesOf(version),
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

/** Each version changes the limits of one entry. */
function entriesOf(version: number): readonly CatalogueEntry[] {
  return Array.from({length: DATABASES}, (_, place) => ({
    name: `booking-${place}`,
    owner: 'counter',
    class: 'critical',
    database: `booking-ledger-${place}`,
    members: 3,
    limits: {
      connections: place < version ? 15 : 16,
      slots: 2,
      queueLength: 1_000,
      queueMilliseconds: 2_000,
    },
  }));
}

function machineAt(place: number): VirtualMachine {
  const address = {host: '127.0.0.1', port: place};
  return {
    name: `vm-${place}`,
    incarnation: 1,
    dataCentre: 'catania',
    peerAddress: address,
    operatorAddress: address,
    controlVoter: place === 1,
    state: 'serving',
  };
}
