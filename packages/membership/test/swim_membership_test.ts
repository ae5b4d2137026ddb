import {expect} from 'chai';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {ringOf, SecretRing} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {Address, VirtualMachine} from '@apricotlock/topology';
import {
  DatagramFilter,
  MemoryDatagramNetwork,
  SwimMembership,
} from '../src/index.js';
import {randomFrom} from './random_source.js';

const DELAY_MILLISECONDS = 1;
const JOIN_MILLISECONDS = 3_000;
const NEIGHBOUR_LIMIT_MILLISECONDS = 1_500;
const EVERYWHERE_LIMIT_MILLISECONDS = 4_000;
const HEAL_MILLISECONDS = 20_000;

function addressOf(index: number): Address {
  return {host: '10.0.0.1', port: 1_000 + index};
}

class Cluster {
  readonly timer = ManualTimerService.create();
  readonly network = MemoryDatagramNetwork.create(
    this.timer,
    DELAY_MILLISECONDS,
  );
  readonly members = new Map<number, SwimMembership>();
  readonly random = randomFrom(7);

  async start(
    index: number,
    incarnation = 1,
    keys: Observable<SecretRing> = Observable.of(ringOf('a key')),
  ): Promise<SwimMembership> {
    const self: VirtualMachine = {
      name: `vm-${index}`,
      incarnation,
      dataCentre: 'catania',
      peerAddress: addressOf(index),
      operatorAddress: addressOf(index),
      controlVoter: false,
      state: 'serving',
    };
    const member = SwimMembership.start({
      self,
      seeds: [addressOf(0), addressOf(1)],
      transport: this.network.transport(self.peerAddress),
      keys,
      timer: this.timer,
      logger: Logger.silent(),
      random: this.random,
    });
    this.members.set(index, member);
    return member;
  }

  async startAll(count: number): Promise<void> {
    for (let index = 0; index < count; index++) await this.start(index);
    await this.timer.advanceTasks(JOIN_MILLISECONDS);
  }

  names(index: number): readonly string[] {
    const member = this.members.get(index) as SwimMembership;
    return member.machines.current.map(({name}) => name);
  }

  /** Nothing goes to or from one process: it is dead to the others. */
  silence(index: number): void {
    const {port} = addressOf(index);
    this.deliver((from, to) => from.port !== port && to.port !== port);
  }

  deliver(filter: DatagramFilter): void {
    this.network.deliverOnly(filter);
  }

  /** Milliseconds until `test` holds. */
  async until(test: () => boolean, limit: number): Promise<number> {
    const start = this.timer.now();
    while (!test() && this.timer.now() - start <= limit) {
      await this.timer.advanceTasks(10);
    }
    return this.timer.now() - start;
  }

  everyoneElse(index: number, test: (other: number) => boolean): boolean {
    return [...this.members.keys()].every(
      other => other === index || test(other),
    );
  }
}

describe('SwimMembership', () => {
  let cluster: Cluster;

  beforeEach(() => {
    cluster = new Cluster();
  });

  describe('joining', () => {
    it('makes every process known to every other', async () => {
      await cluster.startAll(40);
      for (const index of cluster.members.keys()) {
        expect(cluster.names(index)).to.have.length(40);
      }
    });

    it('lets a restarted process take its name over', async () => {
      await cluster.startAll(6);
      cluster.silence(3);
      await cluster.timer.advanceTasks(300);
      await cluster.start(3, 2);
      cluster.deliver(() => true);
      await cluster.timer.advanceTasks(2_000);
      const seen = cluster.members.get(5)?.machines.current;
      expect(seen?.find(({name}) => name === 'vm-3')?.incarnation).to.equal(2);
      expect(cluster.names(3)).to.have.length(6);
    });

    it('takes in a process whose clock went back before its start', async () => {
      await cluster.startAll(3);
      await cluster.start(3, 500);
      await cluster.timer.advanceTasks(1_000);
      cluster.silence(3);
      await cluster.timer.advanceTasks(3_000);
      expect(cluster.names(0)).not.to.include('vm-3');
      await cluster.start(3, 400);
      cluster.deliver(() => true);
      await cluster.timer.advanceTasks(HEAL_MILLISECONDS);
      expect(cluster.names(0)).to.include('vm-3');
    });
  });

  describe('a process that dies', () => {
    it('is known dead to a neighbour and then to all in time', async () => {
      await cluster.startAll(60);
      cluster.silence(17);
      const first = await cluster.until(
        () =>
          !cluster.everyoneElse(17, o => cluster.names(o).includes('vm-17')),
        EVERYWHERE_LIMIT_MILLISECONDS,
      );
      const rest = await cluster.until(
        () =>
          cluster.everyoneElse(17, o => !cluster.names(o).includes('vm-17')),
        EVERYWHERE_LIMIT_MILLISECONDS,
      );
      expect(first).to.be.at.most(NEIGHBOUR_LIMIT_MILLISECONDS);
      expect(first + rest).to.be.at.most(EVERYWHERE_LIMIT_MILLISECONDS);
    });

    it('refutes and returns when it was only cut off', async () => {
      await cluster.startAll(12);
      cluster.silence(4);
      await cluster.timer.advanceTasks(10_000);
      expect(cluster.names(0)).not.to.include('vm-4');
      cluster.deliver(() => true);
      await cluster.timer.advanceTasks(HEAL_MILLISECONDS);
      expect(
        cluster.everyoneElse(-1, other => cluster.names(other).length === 12),
      ).to.equal(true);
    });
  });

  describe('a partition', () => {
    it('keeps each side whole and heals by itself', async () => {
      await cluster.startAll(30);
      const side = (address: Address) => address.port % 2;
      cluster.deliver((from, to) => side(from) === side(to));
      await cluster.timer.advanceTasks(20_000);
      expect(cluster.names(0)).to.have.length(15);
      expect(cluster.names(1)).to.have.length(15);
      cluster.deliver(() => true);
      await cluster.timer.advanceTasks(HEAL_MILLISECONDS);
      for (const index of cluster.members.keys()) {
        expect(cluster.names(index)).to.have.length(30);
      }
    });
  });

  describe('links that lose a tenth of the datagrams', () => {
    it('get nobody thought dead', async () => {
      await cluster.startAll(20);
      cluster.deliver(() => cluster.random() > 0.1);
      for (let second = 0; second < 60; second++) {
        await cluster.timer.advanceTasks(1_000);
        for (const index of cluster.members.keys()) {
          expect(cluster.names(index)).to.have.length(20);
        }
      }
    });
  });

  describe('one direction between two processes is cut', () => {
    it('keeps both, for others reach them', async () => {
      await cluster.startAll(8);
      const [one, other] = [addressOf(2).port, addressOf(3).port];
      cluster.deliver((from, to) => from.port !== one || to.port !== other);
      await cluster.timer.advanceTasks(20_000);
      expect(cluster.names(2)).to.have.length(8);
      expect(cluster.names(3)).to.have.length(8);
    });
  });

  describe('announce and leave', () => {
    it('tell the others at once', async () => {
      await cluster.startAll(6);
      cluster.members.get(2)?.announce('draining');
      await cluster.timer.advanceTasks(50);
      const seen = cluster.members.get(5)?.machines.current;
      expect(seen?.find(({name}) => name === 'vm-2')?.state).to.equal(
        'draining',
      );
      void cluster.members.get(2)?.leave();
      await cluster.timer.advanceTasks(50);
      expect(cluster.names(5)).not.to.include('vm-2');
    });
  });

  describe('strangers', () => {
    it('with another key are not heard', async () => {
      await cluster.startAll(3);
      await cluster.start(9, 1, Observable.of(ringOf('another key')));
      await cluster.timer.advanceTasks(JOIN_MILLISECONDS);
      expect(cluster.names(0)).to.have.length(3);
    });

    it('that repeat captured datagrams change nothing', async () => {
      const captured: Array<() => void> = [];
      await cluster.startAll(5);
      const carry = cluster.network.carry.bind(cluster.network);
      cluster.network.carry = (from, to, bytes) => {
        captured.push(() => carry(from, to, bytes));
        carry(from, to, bytes);
      };
      await cluster.timer.advanceTasks(2_000);
      cluster.network.carry = carry;
      void cluster.members.get(4)?.leave();
      await cluster.timer.advanceTasks(1_000);
      for (const repeat of captured) repeat();
      await cluster.timer.advanceTasks(100);
      expect(cluster.names(0)).to.have.length(4);
    });

    it('that send garbage change nothing', async () => {
      await cluster.startAll(3);
      for (let length = 0; length < 2_000; length += 7) {
        const bytes = Buffer.alloc(length, length);
        if (length > 0) bytes[0] = 1;
        cluster.network.carry(addressOf(50), addressOf(0), bytes);
      }
      await cluster.timer.advanceTasks(2_000);
      expect(cluster.names(0)).to.have.length(3);
    });
  });

  describe('rotation of the key', () => {
    it('keeps everyone known while keys change one process at a time', async () => {
      const rings = new Map<number, Observable<SecretRing>>();
      for (let index = 0; index < 5; index++) {
        const ring = Observable.of(ringOf('old key'));
        rings.set(index, ring);
        await cluster.start(index, 1, ring);
      }
      const steps = [
        ringOf('old key', 'new key'),
        ringOf('new key', 'old key'),
        ringOf('new key'),
      ];
      for (const step of steps) {
        for (const ring of rings.values()) {
          ring.set(step);
          await cluster.timer.advanceTasks(700);
          for (const index of rings.keys()) {
            if (cluster.timer.now() < JOIN_MILLISECONDS) continue;
            expect(cluster.names(index)).to.have.length(5);
          }
        }
      }
    });
  });
});
