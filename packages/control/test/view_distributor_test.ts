import {expect} from 'chai';
import {Left, Right} from 'purify-ts';
import {Deferred, Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {CatalogueEntry, VirtualMachine} from '@apricotlock/topology';
import {
  ControlCommand,
  DistributionTree,
  RandomSource,
  SingleNodeControlLog,
  ViewDistributor,
  ViewStore,
} from '../src/index.js';
import {FETCH_VIEW, PUSH_VIEW} from '../src/control_messages.js';
import {catalogueEdit} from './support/control_cluster.js';
import {FakeNetwork} from './support/fake_network.js';
import {MemoryFolder} from './support/memory_folder.js';

const ACTIVATION_TIMEOUT_MILLISECONDS = 3_000;
const NODES = 60;

const ENTRY: CatalogueEntry = {
  name: 'holds',
  owner: 'operators',
  class: 'standard',
  database: 'ledger',
  members: 3,
  limits: {connections: 4, slots: 2, queueLength: 10, queueMilliseconds: 500},
};

function machineOf(vmNumber: number): VirtualMachine {
  const address = {host: '127.0.0.1', port: vmNumber};
  return {
    name: `vm-${vmNumber}`,
    incarnation: 1,
    dataCentre: 'catania',
    peerAddress: address,
    operatorAddress: address,
    controlVoter: vmNumber === 1,
    state: 'serving',
  };
}

function machinesOf(count: number): readonly VirtualMachine[] {
  return Array.from({length: count}, (_, index) => machineOf(index + 1));
}

describe('DistributionTree', () => {
  it('reaches every VM exactly once, with at most eight children each', () => {
    const machines = machinesOf(500);
    const tree = DistributionTree.of(machines);
    const reached = machines.flatMap(({name}) =>
      tree.childrenOf(name, 'vm-7').map(child => child.name),
    );
    expect(new Set(reached).size).to.equal(499);
    expect(reached).to.have.length(499);
    for (const {name} of machines) {
      const children = tree.childrenOf(name, 'vm-7');
      expect(children.length).to.be.at.most(8);
      for (const child of children) {
        expect(tree.parentOf(child.name, 'vm-7')?.name).to.equal(name);
      }
    }
  });
});

describe('DistributionTree with several control VMs', () => {
  it('has as many entry VMs as possible as children of control VMs', () => {
    const machines = machinesOf(93).map(machine => ({
      ...machine,
      controlVoter: Number(machine.name.replace('vm-', '')) > 85,
    }));
    const tree = DistributionTree.of(machines);
    const forwarded = machines
      .filter(({controlVoter}) => !controlVoter)
      .map(({name}) => tree.childrenOf(name, 'vm-90').length);
    const byControlVms = 92 - forwarded.reduce((sum, each) => sum + each, 0);
    expect(byControlVms).to.equal(8 * 8);
    expect(forwarded.filter(each => each > 0).length).to.be.at.most(4);
  });
});

describe('ViewDistributor', () => {
  const timer = SystemTimerService.create();
  const log = SingleNodeControlLog.create('vm-1');
  let network: FakeNetwork;
  let nodes: ViewDistributor[];
  let disk: MemoryFolder;

  async function startNode(vmNumber: number): Promise<ViewDistributor> {
    const logger = Logger.silent();
    return ViewDistributor.start({
      logger,
      self: `vm-${vmNumber}`,
      network: network.join(vmNumber),
      timer,
      machines: Observable.of(machinesOf(NODES)),
      log: vmNumber === 1 ? log : undefined,
      store: vmNumber === 2 ? ViewStore.of(disk, logger) : undefined,
    });
  }

  beforeEach(async () => {
    network = FakeNetwork.create();
    disk = MemoryFolder.create();
    nodes = [];
    for (let vmNumber = 1; vmNumber <= NODES; vmNumber++) {
      nodes.push(await startNode(vmNumber));
    }
  });

  afterEach(() => {
    for (const node of nodes) node.stop();
  });

  async function proposeChange(): Promise<number> {
    const {version} = log.state.current.view.catalogue;
    await log.propose(catalogueEdit(`change-${version}`, version));
    return log.state.current.view.index;
  }

  /** Proposes a catalogue with so many entries that views are packed. */
  async function proposeLargeCatalogue(): Promise<number> {
    const {version} = log.state.current.view.catalogue;
    const entries = Array.from({length: 300}, (_, number) => ({
      ...ENTRY,
      name: `entry-${number}-${version}`,
    }));
    const edit = catalogueEdit(`large-${version}`, version);
    await log.propose({...edit, entries} as ControlCommand);
    return log.state.current.view.index;
  }

  async function waitUntilActive(
    index: number,
    distributors: readonly ViewDistributor[] = nodes,
  ): Promise<void> {
    const deadline = timer.now() + ACTIVATION_TIMEOUT_MILLISECONDS;
    while (distributors.some(({view}) => view.current.index < index)) {
      const missing = distributors.filter(
        ({view}) => view.current.index < index,
      );
      if (timer.now() > deadline) throw new Error(`${missing.length} outdated`);
      await timer.sleep(5);
    }
  }

  it('distributes a change to all live VMs while children of the root are down', async () => {
    await waitUntilActive(await proposeChange());
    // The children of the root in the tree.
    const children = DistributionTree.of(machinesOf(NODES)).childrenOf(
      'vm-1',
      'vm-1',
    );
    const lost = children.slice(0, 3).map(child => child.peerAddress.port);
    for (const port of lost) network.leave(port);
    const live = nodes.filter((_, index) => !lost.includes(index + 1));
    await waitUntilActive(await proposeChange(), live);
  });

  it('distributes a large catalogue, also to VMs of an earlier version', async () => {
    const [, old] = DistributionTree.of(machinesOf(NODES)).childrenOf(
      'vm-1',
      'vm-1',
    );
    const oldPort = Number(old?.name.replace('vm-', ''));
    nodes[oldPort - 1]?.stop();
    const received: string[] = [];
    const oldNetwork = network.join(oldPort);
    oldNetwork.handle(PUSH_VIEW, async ({update}) => {
      if (update.kind === 'packed') return Left('malformed request');
      received.push(update.kind);
      const index =
        update.kind === 'full' ? update.view.index : update.delta.index;
      return Right({index});
    });
    const others = nodes.filter((_, index) => index !== oldPort - 1);
    await waitUntilActive(await proposeLargeCatalogue(), others);
    await waitUntilActive(await proposeLargeCatalogue(), others);
    const [first] = others;
    const expected = log.state.current.view.catalogue;
    for (const node of others) {
      expect(node.view.current.catalogue).to.deep.equal(expected);
    }
    expect(first?.view.current.catalogue.entries).to.have.length(300);
    expect(received.length).to.be.above(0);
  });

  it('never returns to an older view, and reports the age of the current one', async () => {
    await waitUntilActive(await proposeChange());
    const stale = nodes.slice(30);
    const previousIndexes = stale.map(({view}) => view.current.index);
    const wentBackChecks = stale.map(node => {
      let highest = node.view.current.index;
      let wentBack = false;
      node.view.subscribe(({index}) => {
        wentBack ||= index < highest;
        highest = index;
      });
      return () => wentBack;
    });
    await timer.sleep(1_500);
    network.isolate(...stale.map((_, index) => index + 31));
    const isolatedAt = timer.now();
    await proposeChange();
    const last = await proposeChange();
    await waitUntilActive(last, nodes.slice(0, 30));
    await timer.sleep(500);
    stale.forEach((node, index) => {
      expect(node.view.current.index).to.equal(previousIndexes[index]);
      // Isolated nodes reach each other, so an age may fall, but none of them
      // can have heard of the leader since the isolation.
      const isolatedMilliseconds = timer.now() - isolatedAt;
      expect(node.ageMilliseconds).to.be.at.least(isolatedMilliseconds);
    });
    network.heal();
    await waitUntilActive(last);
    expect(wentBackChecks.some(wentBack => wentBack())).to.equal(false);
  }).timeout(20_000);

  it('reports the true age of the active view while its disk is slow', async () => {
    await waitUntilActive(await proposeChange());
    await timer.sleep(1_500);
    const slow = nodes[1] as ViewDistributor;
    const writesAllowed = Deferred.create<void>();
    disk.writeGate = writesAllowed.promise;
    const index = await proposeChange();
    await waitUntilActive(index, nodes.slice(2));
    await timer.sleep(1_500);
    expect(slow.view.current.index).to.equal(index - 1);
    expect(slow.ageMilliseconds).to.be.greaterThan(1_000);
    writesAllowed.resolve();
    await waitUntilActive(index);
  }).timeout(20_000);

  it('restores the active view after a restart', async () => {
    const index = await proposeChange();
    await waitUntilActive(index);
    nodes[1]?.stop();
    network.leave(2);
    disk = disk.afterCrash(RandomSource.of(3));
    network.isolate(2);
    nodes[1] = await startNode(2);
    expect(nodes[1].view.current.index).to.equal(index);
    expect(nodes[1].ageMilliseconds).to.equal(Infinity);
  });
});

describe('ViewDistributor with a VM that answers slowly', () => {
  it('requests an update again only after the fetch before has ended', async () => {
    const timer = SystemTimerService.create();
    const network = FakeNetwork.create();
    const requested: number[] = [];
    network.join(1).handle(FETCH_VIEW, async ({index}) => {
      requested.push(index);
      return new Promise(() => undefined);
    });
    const distributor = await ViewDistributor.start({
      logger: Logger.silent(),
      self: 'vm-2',
      network: network.join(2),
      timer,
      machines: Observable.of(machinesOf(2)),
      log: undefined,
      store: undefined,
    });
    await timer.sleep(500);
    distributor.stop();
    const updates = requested.filter(index => index < Number.MAX_SAFE_INTEGER);
    expect(requested.length).to.be.above(1);
    expect(updates).to.deep.equal([0]);
  });
});
