import {expect} from 'chai';
import {Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {Address, VirtualMachine} from '@apricotlock/topology';
import {ContactAges, PeerContact} from '../src/index.js';

const FRESH: ContactAges = {
  viewAgeMilliseconds: 50,
  primaryContactAgeMilliseconds: 50,
};
const STALE: ContactAges = {
  viewAgeMilliseconds: 850,
  primaryContactAgeMilliseconds: 850,
};

function machine(name: string): VirtualMachine {
  const host = `10.0.0.${name}`;
  return {
    name,
    dataCentre: 'north',
    peerAddress: {host, port: 7000},
    incarnation: 1,
    controlVoter: false,
    state: 'serving',
  } as VirtualMachine;
}

describe('PeerContact', () => {
  let timer: ManualTimerService;
  let machines: Observable<readonly VirtualMachine[]>;
  let ages: ContactAges;
  let silent: ReadonlySet<string>;
  let pings: number;
  let contact: PeerContact;

  beforeEach(() => {
    timer = ManualTimerService.create();
    machines = Observable.of(['1', '2', '3', '4', '5', '6'].map(machine));
    ages = FRESH;
    silent = new Set();
    pings = 0;
    const network = {
      call: async ({host}: Address) => {
        pings += 1;
        return silent.has(host)
          ? Left({kind: 'noAnswer', reason: 'timed out'})
          : Right({alive: true});
      },
    } as unknown as PeerNetwork;
    contact = PeerContact.start({
      self: '1',
      machines,
      ages: () => ages,
      network,
      timer,
      logger: Logger.silent(),
    });
  });

  async function advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 100) {
      timer.advance(100);
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  it('sends nothing while control or a lease holder answers', async () => {
    await advance(500);
    ages = {...STALE, primaryContactAgeMilliseconds: 50};
    await advance(500);
    expect(pings).to.equal(0);
  });

  it('has lost no peer if all answer, as when all control VMs are lost', async () => {
    await advance(200);
    ages = STALE;
    await advance(1_000);
    expect(pings).to.be.greaterThan(5);
    expect(contact.hasLostPeer).to.equal(false);
  });

  it('notices one that does not answer, until it answers again', async () => {
    await advance(200);
    ages = STALE;
    silent = new Set(['10.0.0.5']);
    await advance(300);
    expect(contact.hasLostPeer).to.equal(true);
    silent = new Set();
    await advance(300);
    expect(contact.hasLostPeer).to.equal(false);
  });

  // A long partition would otherwise look like a loss of all control VMs.
  it('remembers those that membership takes for dead', async () => {
    await advance(200);
    ages = {viewAgeMilliseconds: 600, primaryContactAgeMilliseconds: 50};
    silent = new Set(['10.0.0.4', '10.0.0.5', '10.0.0.6']);
    machines.set(['1', '2', '3'].map(machine));
    await advance(300);
    ages = STALE;
    await advance(300);
    expect(contact.hasLostPeer).to.equal(true);
  });
});
