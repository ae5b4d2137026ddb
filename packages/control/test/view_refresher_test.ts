import {expect} from 'chai';
import {Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {ClusterView, EMPTY_VIEW, VirtualMachine} from '@apricotlock/topology';
import {ViewDistributor} from '../src/index.js';
import {FETCH_VIEW} from '../src/control_messages.js';
import {FakeNetwork} from './support/fake_network.js';

const timer = SystemTimerService.create();

function machineOf(vmNumber: number): VirtualMachine {
  const address = {host: '127.0.0.1', port: vmNumber};
  return {
    name: `vm-${vmNumber}`,
    incarnation: 1,
    dataCentre: 'here',
    peerAddress: address,
    operatorAddress: address,
    controlVoter: vmNumber < 3,
    state: 'serving',
  };
}

/** The view of a control VM, and how it answers fetches. */
class FakeControl {
  view: ClusterView = {...EMPTY_VIEW, index: 1};
  root = 'vm-1';
  ageMilliseconds = 10;
  silent = false;
  fetches = 0;

  constructor(network: FakeNetwork, port: number) {
    network.join(port).handle(FETCH_VIEW, async ({index}) => {
      if (index === Number.MAX_SAFE_INTEGER || this.silent) {
        return new Promise(() => undefined);
      }
      this.fetches += 1;
      const isNewer = this.view.index > index;
      return Right({
        index: this.view.index,
        ageMilliseconds: this.ageMilliseconds,
        root: this.root,
        update: isNewer ? {kind: 'full' as const, view: this.view} : null,
      });
    });
  }
}

describe('ViewDistributor.refresh', () => {
  let network: FakeNetwork;
  let leader: FakeControl;
  let follower: FakeControl;
  let distributor: ViewDistributor;

  beforeEach(async () => {
    network = FakeNetwork.create();
    leader = new FakeControl(network, 1);
    follower = new FakeControl(network, 2);
    follower.ageMilliseconds = 200;
    distributor = await ViewDistributor.start({
      logger: Logger.silent(),
      self: 'vm-3',
      network: network.join(3),
      timer,
      machines: Observable.of([1, 2, 3].map(machineOf)),
      log: undefined,
      store: undefined,
      fetchMilliseconds: 60_000,
    });
    await timer.sleep(120);
  });

  afterEach(() => distributor.stop());

  it('activates a view that the leader has and the VM was not sent', async () => {
    leader.view = {...EMPTY_VIEW, index: 2};
    await distributor.refresh(500);
    expect(distributor.view.current.index).to.equal(2);
  });

  it('finds the leader through another control VM', async () => {
    leader.silent = true;
    leader.root = 'vm-1';
    follower.root = 'vm-2';
    follower.ageMilliseconds = 10;
    follower.view = {...EMPTY_VIEW, index: 3};
    await distributor.refresh(500);
    expect(distributor.view.current.index).to.equal(3);
  });

  // Guards against the view of a leader that has been replaced: control VMs
  // elect another one 250 ms after their last contact with it.
  it('does not rely on a leader without a recent contact with a quorum', async () => {
    leader.ageMilliseconds = 300;
    follower.root = 'vm-2';
    follower.ageMilliseconds = 10;
    follower.view = {...EMPTY_VIEW, index: 2};
    await distributor.refresh(500);
    expect(distributor.view.current.index).to.equal(2);
  });

  it('ends when its time is over although no control VM answers', async () => {
    leader.silent = true;
    follower.silent = true;
    const begunAt = timer.now();
    await distributor.refresh(300);
    expect(timer.now() - begunAt).to.be.within(290, 450);
  });

  // Callers with wrong keys must not load the leader.
  it('shares fetches, and begins at most one in 100 ms', async () => {
    leader.fetches = 0;
    const begunAt = timer.now();
    while (timer.now() - begunAt < 500) {
      await Promise.all(
        Array.from({length: 50}, () => distributor.refresh(500)),
      );
    }
    expect(leader.fetches).to.be.within(3, 8);
  });
});
