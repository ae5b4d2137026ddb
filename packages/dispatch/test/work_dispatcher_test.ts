import {expect} from 'chai';
import {Observable} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {
  DatabaseGroup,
  EMPTY_VIEW,
  Member,
  VirtualMachine,
} from '@apricotlock/topology';
import {WorkRequest, WorkService} from '@apricotlock/work';
import {VirtualMachineHealth, WorkDispatcher} from '../src/index.js';

const MACHINE_COUNT = 85;
const REQUEST = {member: 'm', primaryTerm: 0} as WorkRequest;

describe('WorkDispatcher', () => {
  let timer: ManualTimerService;
  let group: DatabaseGroup;
  let machines: Observable<readonly VirtualMachine[]>;
  let unresponsive: Set<string>;
  /** How often each VM was asked to work on the member. */
  let requests: Map<string, number>;
  let dispatchers: readonly WorkDispatcher[];

  beforeEach(() => {
    timer = ManualTimerService.create();
    const address = {host: '127.0.0.1', port: 1};
    const member = {name: 'm', dataCentre: 'dc-1', address} as Member;
    group = {database: 'ledger', members: [member]} as unknown as DatabaseGroup;
    const list = Array.from({length: MACHINE_COUNT}, (_, index) => ({
      name: `vm-${index}`,
      dataCentre: `dc-${index % 4}`,
      state: 'serving',
      peerAddress: {host: `127.0.0.${index + 1}`, port: 1},
    }));
    machines = Observable.of(list as unknown as readonly VirtualMachine[]);
    unresponsive = new Set();
    requests = new Map();
    dispatchers = list.map(({name}) => createDispatcher(name));
  });

  function createDispatcher(self: string): WorkDispatcher {
    const health: Partial<VirtualMachineHealth> = {
      isResponsive: name => !unresponsive.has(name),
    };
    const work: Partial<WorkService> = {
      serve: async () => count(self),
    };
    const network: Partial<PeerNetwork> = {
      converse: (({host}: {host: string}) => {
        count(`vm-${Number(host.split('.')[3]) - 1}`);
        return {};
      }) as unknown as PeerNetwork['converse'],
    };
    return WorkDispatcher.create({
      self,
      view: Observable.of({...EMPTY_VIEW, groups: [group]}),
      machines,
      network: network as PeerNetwork,
      work: work as WorkService,
      health: health as VirtualMachineHealth,
      timer,
    });
  }

  function count(machine: string): void {
    requests.set(machine, (requests.get(machine) ?? 0) + 1);
  }

  /** Every VM tries the member until it finds no VM to try; none reaches it. */
  function tryOnAllMachines(): void {
    for (const dispatcher of dispatchers) {
      for (let tries = 0; tries < MACHINE_COUNT; tries++) {
        const work = dispatcher.dispatch(group, REQUEST);
        if (work === undefined) break;
        dispatcher.recordUnreachable(work.machine, 'm');
      }
    }
  }

  // Guards against 85 VMs that each open connections to a member that is back,
  // which are more than it accepts.
  it('lets three VMs work on a member that none can reach', () => {
    tryOnAllMachines();
    expect(requests.size).to.equal(3);
  });

  it('asks the same VMs again after a time', async () => {
    tryOnAllMachines();
    await timer.advanceAsync(1_000);
    tryOnAllMachines();
    expect(requests.size).to.equal(3);
    expect(Math.min(...requests.values())).to.equal(2 * MACHINE_COUNT);
  });

  // Guards against reads that wait for the one connection that other VMs than
  // the lease holder may open to a primary.
  it('sends reads on a primary to its lease holder', () => {
    const held = {...group, primary: 'm', holder: 'vm-50'};
    for (const dispatcher of dispatchers) dispatcher.dispatch(held, REQUEST);
    expect(requests).to.deep.equal(new Map([['vm-50', MACHINE_COUNT]]));
    unresponsive.add('vm-50');
    expect(dispatchers[1]?.dispatch(held, REQUEST)?.machine).not.to.equal(
      'vm-50',
    );
  });

  it('uses this VM while none of the others responds', () => {
    for (const {name} of machines.current) unresponsive.add(name);
    unresponsive.delete('vm-7');
    const work = dispatchers[7]?.dispatch(group, REQUEST);
    expect(work?.machine).to.equal('vm-7');
  });
});
