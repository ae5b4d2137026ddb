import {expect} from 'chai';
import {Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {Address, VirtualMachine} from '@apricotlock/topology';
import {VirtualMachineHealth} from '../src/index.js';

function machine(name: string): VirtualMachine {
  return {name, peerAddress: {host: name, port: 7000}} as VirtualMachine;
}

describe('VirtualMachineHealth', () => {
  let machines: Observable<readonly VirtualMachine[]>;
  let answers: boolean;
  let pinged: string[];
  let closed: string[];
  let health: VirtualMachineHealth;
  let timer: ManualTimerService;

  beforeEach(() => {
    timer = ManualTimerService.create();
    machines = Observable.of(['a', 'b', 'c'].map(machine));
    answers = true;
    pinged = [];
    closed = [];
    const network = {
      call: async ({host}: Address) => {
        pinged.push(host);
        return answers ? Right({alive: true}) : Left({kind: 'noAnswer'});
      },
      closeIdleLink: ({host}: Address) => closed.push(host),
    } as unknown as PeerNetwork;
    health = VirtualMachineHealth.create({
      self: 'a',
      machines,
      network,
      timer,
      logger: Logger.silent(),
    });
  });

  async function settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
  }

  it('takes VMs that join for responsive, without a ping', async () => {
    machines.set(['a', 'b', 'c', 'd'].map(machine));
    await settle();
    expect(health.isResponsive('d')).to.equal(true);
    expect(pinged).to.deep.equal([]);
  });

  // Work that is sent there over a link that is still broken is lost.
  describe('with a VM that is back after a partition', () => {
    beforeEach(() => {
      machines.set(['a', 'b'].map(machine));
      machines.set(['a', 'b', 'c'].map(machine));
    });

    it('has closed the idle link to it', () => {
      expect(closed).to.deep.equal(['c']);
    });

    it('uses it once it has answered a ping', async () => {
      expect(health.isResponsive('c')).to.equal(false);
      await settle();
      expect(health.isResponsive('c')).to.equal(true);
      expect(pinged).to.deep.equal(['c']);
    });

    it('pings it again while it does not answer', async () => {
      answers = false;
      expect(health.isResponsive('c')).to.equal(false);
      await settle();
      answers = true;
      timer.advance(200);
      await settle();
      expect(health.isResponsive('c')).to.equal(true);
    });

    it('does not ping it before it is asked for', async () => {
      await settle();
      expect(pinged).to.deep.equal([]);
    });
  });
});
