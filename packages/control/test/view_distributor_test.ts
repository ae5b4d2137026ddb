import {expect} from 'chai';
import {Deferred, Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {
  SoleControlLog,
  FanOut,
  RandomSource,
  ViewDistributor,
  ViewStore,
} from '../src/index.js';
import {edit} from './support/control_cluster.js';
import {FakeNetwork} from './support/fake_network.js';
import {MemoryFolder} from './support/memory_folder.js';

const IN_FORCE_LIMIT_MILLISECONDS = 3_000;
const NODES = 60;

function machineOf(place: number): VirtualMachine {
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

function machinesOf(count: number): readonly VirtualMachine[] {
  return Array.from({length: count}, (_, place) => machineOf(place + 1));
}

describe('FanOut', () => {
  it('reaches every VM once, over a handful of links each', () => {
    const machines = machinesOf(500);
    const fanOut = FanOut.over(machines);
    const reached = machines.flatMap(({name}) =>
      fanOut.childrenOf(name, 'vm-7').map(child => child.name),
    );
    expect(new Set(reached).size).to.equal(499);
    expect(reached).to.have.length(499);
    for (const {name} of machines) {
      const children = fanOut.childrenOf(name, 'vm-7');
      expect(children.length).to.be.at.most(8);
      for (const child of children) {
        expect(fanOut.parentOf(child.name, 'vm-7')?.name).to.equal(name);
      }
    }
  });
});

describe('ViewDistributor', () => {
  const timer = SystemTimerService.create();
  const log = SoleControlLog.create('vm-1');
  let network: FakeNetwork;
  let nodes: ViewDistributor[];
  let disk: MemoryFolder;

  async function startNode(place: number): Promise<ViewDistributor> {
    const logger = Logger.silent();
    return ViewDistributor.start({
      self: `vm-${place}`,
      network: network.join(place),
      timer,
      machines: Observable.of(machinesOf(NODES)),
      log: place === 1 ? log : undefined,
      store: place === 2 ? ViewStore.of(disk, logger) : undefined,
    });
  }

  beforeEach(async () => {
    network = FakeNetwork.create();
    disk = MemoryFolder.create();
    nodes = [];
    for (let place = 1; place <= NODES; place++) {
      nodes.push(await startNode(place));
    }
  });

  afterEach(() => {
    for (const node of nodes) node.stop();
  });

  async function change(): Promise<number> {
    const {version} = log.state.current.view.catalogue;
    await log.propose(edit(`change-${version}`, version));
    return log.state.current.view.index;
  }

  async function inForce(
    index: number,
    some: readonly ViewDistributor[] = nodes,
  ): Promise<void> {
    const deadline = timer.now() + IN_FORCE_LIMIT_MILLISECONDS;
    while (some.some(({view}) => view.current.index < index)) {
      const missing = some.filter(({view}) => view.current.index < index);
      if (timer.now() > deadline) throw new Error(`${missing.length} missing`);
      await timer.sleep(5);
    }
  }

  it('brings a change to every VM while some are lost', async () => {
    await inForce(await change());
    // The VMs that stand next to the root in the tree.
    const children = FanOut.over(machinesOf(NODES)).childrenOf('vm-1', 'vm-1');
    const lost = children.slice(0, 3).map(child => child.peerAddress.port);
    for (const port of lost) network.leave(port);
    const live = nodes.filter((_, place) => !lost.includes(place + 1));
    await inForce(await change(), live);
  });

  it('never goes back, and tells the age of what it has', async () => {
    await inForce(await change());
    const stale = nodes.slice(30);
    const seen = stale.map(({view}) => view.current.index);
    const decreased = stale.map(node => {
      let highest = node.view.current.index;
      let wentBack = false;
      node.view.subscribe(({index}) => {
        wentBack ||= index < highest;
        highest = index;
      });
      return () => wentBack;
    });
    await timer.sleep(1_500);
    network.cut(...stale.map((_, place) => place + 31));
    await change();
    const last = await change();
    await inForce(last, nodes.slice(0, 30));
    const before = stale.map(node => node.ageMilliseconds);
    await timer.sleep(500);
    stale.forEach((node, place) => {
      expect(node.view.current.index).to.equal(seen[place]);
      expect(node.ageMilliseconds - (before[place] ?? 0)).to.be.above(400);
    });
    network.heal();
    await inForce(last);
    expect(decreased.some(wentBack => wentBack())).to.equal(false);
  }).timeout(20_000);

  it('tells no small age of an old view while its disk is slow', async () => {
    await inForce(await change());
    await timer.sleep(1_500);
    const slow = nodes[1] as ViewDistributor;
    const release = Deferred.create<void>();
    disk.held = release.promise;
    const index = await change();
    await inForce(index, nodes.slice(2));
    await timer.sleep(1_500);
    expect(slow.view.current.index).to.equal(index - 1);
    expect(slow.ageMilliseconds).to.be.greaterThan(1_000);
    release.resolve();
    await inForce(index);
  }).timeout(20_000);

  it('comes back from a restart with the view that was in force', async () => {
    const index = await change();
    await inForce(index);
    nodes[1]?.stop();
    network.leave(2);
    disk = disk.afterCrash(RandomSource.of(3));
    network.cut(2);
    nodes[1] = await startNode(2);
    expect(nodes[1].view.current.index).to.equal(index);
    expect(nodes[1].ageMilliseconds).to.equal(Infinity);
  });
});
