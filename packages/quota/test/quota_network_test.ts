import {expect} from 'chai';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {WebSocketPeerNetwork} from '@apricotlock/peer';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {EMPTY_VIEW, Organisation, VirtualMachine} from '@apricotlock/topology';
import {QuotaClient, QuotaCoordinator} from '../src/index.js';

const FIRST_PORT = 870;
const DEADLINE_MILLISECONDS = 10_000;

interface Vm {
  readonly network: WebSocketPeerNetwork;
  readonly coordinator: QuotaCoordinator;
  readonly client: QuotaClient;
}

/** Starts VMs with real links that serve callers of the given organisations. */
function startVms(
  count: number,
  organisations: readonly Organisation[],
): Promise<readonly Vm[]> {
  const timer = SystemTimerService.create();
  const machines: VirtualMachine[] = Array.from({length: count}, (_, index) => {
    const address = {host: '127.0.0.1', port: testPort(FIRST_PORT + index)};
    return {
      name: `vm${index}`,
      incarnation: 1,
      dataCentre: 'a',
      peerAddress: address,
      operatorAddress: address,
      controlVoter: false,
      state: 'serving',
    };
  });
  const catalogue = {...EMPTY_VIEW.catalogue, organisations};
  const startVm = async ({name, peerAddress}: VirtualMachine) => {
    const network = await WebSocketPeerNetwork.start({
      listen: peerAddress,
      key: 'k',
      timer,
      logger: Logger.silent(),
      maximumMessageBytes: 1 << 20,
    });
    const options = {
      self: name,
      machines: Observable.of<readonly VirtualMachine[]>(machines),
      view: Observable.of({...EMPTY_VIEW, catalogue}),
      viewAgeMilliseconds: () => 0,
      network,
      timer,
    };
    const coordinator = QuotaCoordinator.start(options);
    const client = QuotaClient.create({...options, coordinator});
    return {network, coordinator, client};
  };
  return Promise.all(machines.map(startVm));
}

describe('quotas over real links', () => {
  it('grant and refuse as the answers of coordinators say', async () => {
    const organisations = Array.from({length: 20}, (_, index) => ({
      name: `organisation${index}`,
      keyDigests: [],
      priority: 0,
      quota: {operationsPerSecond: index < 10 ? 1_000 : 0, burst: 0},
    }));
    const timer = SystemTimerService.create();
    const vms = await startVms(2, organisations);
    const deadline = timer.now() + DEADLINE_MILLISECONDS;
    const isGranted = async ({client}: Vm, organisation: Organisation) =>
      (await client.acquire(organisation)).kind === 'granted';
    for (const vm of vms) {
      // New buckets are empty, so that the first operations are refused.
      let granted: readonly boolean[] = [];
      while (!granted.slice(0, 10).every(Boolean) || granted.length === 0) {
        expect(timer.now()).to.be.below(deadline);
        await timer.sleep(50);
        granted = await Promise.all(
          organisations.map(organisation => isGranted(vm, organisation)),
        );
      }
      expect(granted.slice(10)).to.not.include(true);
      const {messages, requests} = vm.client.counts;
      expect(messages).to.be.within(1, requests / 2);
    }
    for (const {network, coordinator} of vms) {
      coordinator.stop();
      await network.close();
    }
  });
});
