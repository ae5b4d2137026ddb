import {expect} from 'chai';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {createKeyRing, KeyRing} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {Address, VirtualMachine} from '@apricotlock/topology';
import {
  DatagramFilter,
  MemoryDatagramNetwork,
  SwimMembership,
} from '../src/index.js';
import {createRandom} from './random_source.js';

const DELAY_MILLISECONDS = 1;
const JOIN_MILLISECONDS = 3_000;
const FIRST_DETECTION_LIMIT_MILLISECONDS = 1_500;
const FULL_DETECTION_LIMIT_MILLISECONDS = 4_000;
const RECOVERY_MILLISECONDS = 20_000;

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
  readonly random = createRandom(7);

  async start(
    index: number,
    incarnation = 1,
    keys: Observable<KeyRing> = Observable.of(createKeyRing('a key')),
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
      transport: this.network.createTransport(self.peerAddress),
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
    await this.timer.advanceAsync(JOIN_MILLISECONDS);
  }

  names(index: number): readonly string[] {
    const member = this.members.get(index) as SwimMembership;
    return member.machines.current.map(({name}) => name);
  }

  /** Drops all datagrams to and from one process. */
  isolate(index: number): void {
    const {port} = addressOf(index);
    this.deliverOnly((from, to) => from.port !== port && to.port !== port);
  }

  deliverOnly(filter: DatagramFilter): void {
    this.network.deliverOnly(filter);
  }

  /**
   * Advances the clock until `condition` holds or `limit` milliseconds have
   * passed. Returns the elapsed milliseconds.
   */
  async measureUntil(condition: () => boolean, limit: number): Promise<number> {
    const start = this.timer.now();
    while (!condition() && this.timer.now() - start <= limit) {
      await this.timer.advanceAsync(10);
    }
    return this.timer.now() - start;
  }

  everyOtherMember(
    index: number,
    condition: (other: number) => boolean,
  ): boolean {
    return [...this.members.keys()].every(
      other => other === index || condition(other),
    );
  }
}

describe('SwimMembership', () => {
  let cluster: Cluster;

  beforeEach(() => {
    cluster = new Cluster();
  });

  describe('joining', () => {
    it('makes all processes known to each other', async () => {
      await cluster.startAll(40);
      for (const index of cluster.members.keys()) {
        expect(cluster.names(index)).to.have.length(40);
      }
    });

    it('lets a restarted process take over its name', async () => {
      await cluster.startAll(6);
      cluster.isolate(3);
      await cluster.timer.advanceAsync(300);
      await cluster.start(3, 2);
      cluster.deliverOnly(() => true);
      await cluster.timer.advanceAsync(2_000);
      const machines = cluster.members.get(5)?.machines.current;
      expect(machines?.find(({name}) => name === 'vm-3')?.incarnation).to.equal(
        2,
      );
      expect(cluster.names(3)).to.have.length(6);
    });

    it('accepts a process that restarts after its clock went back', async () => {
      await cluster.startAll(3);
      await cluster.start(3, 500);
      await cluster.timer.advanceAsync(1_000);
      cluster.isolate(3);
      await cluster.timer.advanceAsync(3_000);
      expect(cluster.names(0)).not.to.include('vm-3');
      await cluster.start(3, 400);
      cluster.deliverOnly(() => true);
      await cluster.timer.advanceAsync(RECOVERY_MILLISECONDS);
      expect(cluster.names(0)).to.include('vm-3');
    });
  });

  describe('a failed process', () => {
    it('is detected by one process and then by all before the limits', async () => {
      await cluster.startAll(60);
      cluster.isolate(17);
      const firstDetection = await cluster.measureUntil(
        () =>
          !cluster.everyOtherMember(17, o =>
            cluster.names(o).includes('vm-17'),
          ),
        FULL_DETECTION_LIMIT_MILLISECONDS,
      );
      const remainingDetection = await cluster.measureUntil(
        () =>
          cluster.everyOtherMember(
            17,
            o => !cluster.names(o).includes('vm-17'),
          ),
        FULL_DETECTION_LIMIT_MILLISECONDS,
      );
      expect(firstDetection).to.be.at.most(FIRST_DETECTION_LIMIT_MILLISECONDS);
      expect(firstDetection + remainingDetection).to.be.at.most(
        FULL_DETECTION_LIMIT_MILLISECONDS,
      );
    });

    it('refutes its death and rejoins when it was only isolated', async () => {
      await cluster.startAll(12);
      cluster.isolate(4);
      await cluster.timer.advanceAsync(10_000);
      expect(cluster.names(0)).not.to.include('vm-4');
      cluster.deliverOnly(() => true);
      await cluster.timer.advanceAsync(RECOVERY_MILLISECONDS);
      expect(
        cluster.everyOtherMember(
          -1,
          other => cluster.names(other).length === 12,
        ),
      ).to.equal(true);
    });
  });

  describe('a partition', () => {
    it('keeps the members of each side and heals automatically', async () => {
      await cluster.startAll(30);
      const getSide = (address: Address) => address.port % 2;
      cluster.deliverOnly((from, to) => getSide(from) === getSide(to));
      await cluster.timer.advanceAsync(20_000);
      expect(cluster.names(0)).to.have.length(15);
      expect(cluster.names(1)).to.have.length(15);
      cluster.deliverOnly(() => true);
      await cluster.timer.advanceAsync(RECOVERY_MILLISECONDS);
      for (const index of cluster.members.keys()) {
        expect(cluster.names(index)).to.have.length(30);
      }
    });
  });

  describe('a network that loses a tenth of the datagrams', () => {
    it('causes no process to be declared dead', async () => {
      await cluster.startAll(20);
      cluster.deliverOnly(() => cluster.random() > 0.1);
      for (let second = 0; second < 60; second++) {
        await cluster.timer.advanceAsync(1_000);
        for (const index of cluster.members.keys()) {
          expect(cluster.names(index)).to.have.length(20);
        }
      }
    });
  });

  describe('a failure of one direction between two processes', () => {
    it('keeps both as members, since other processes reach them', async () => {
      await cluster.startAll(8);
      const [sender, receiver] = [addressOf(2).port, addressOf(3).port];
      cluster.deliverOnly(
        (from, to) => from.port !== sender || to.port !== receiver,
      );
      await cluster.timer.advanceAsync(20_000);
      expect(cluster.names(2)).to.have.length(8);
      expect(cluster.names(3)).to.have.length(8);
    });
  });

  describe('announce and leave', () => {
    it('notify the other processes immediately', async () => {
      await cluster.startAll(6);
      cluster.members.get(2)?.announce('draining');
      await cluster.timer.advanceAsync(50);
      const machines = cluster.members.get(5)?.machines.current;
      expect(machines?.find(({name}) => name === 'vm-2')?.state).to.equal(
        'draining',
      );
      void cluster.members.get(2)?.leave();
      await cluster.timer.advanceAsync(50);
      expect(cluster.names(5)).not.to.include('vm-2');
    });
  });

  describe('unauthenticated datagrams', () => {
    it('are ignored if they use another key', async () => {
      await cluster.startAll(3);
      await cluster.start(9, 1, Observable.of(createKeyRing('another key')));
      await cluster.timer.advanceAsync(JOIN_MILLISECONDS);
      expect(cluster.names(0)).to.have.length(3);
    });

    it('change nothing if they are replays of captured datagrams', async () => {
      const captured: Array<() => void> = [];
      await cluster.startAll(5);
      const transmit = cluster.network.transmit.bind(cluster.network);
      cluster.network.transmit = (from, to, bytes) => {
        captured.push(() => transmit(from, to, bytes));
        transmit(from, to, bytes);
      };
      await cluster.timer.advanceAsync(2_000);
      cluster.network.transmit = transmit;
      void cluster.members.get(4)?.leave();
      await cluster.timer.advanceAsync(1_000);
      for (const replay of captured) replay();
      await cluster.timer.advanceAsync(100);
      expect(cluster.names(0)).to.have.length(4);
    });

    it('change nothing if they contain arbitrary bytes', async () => {
      await cluster.startAll(3);
      for (let length = 0; length < 2_000; length += 7) {
        const bytes = Buffer.alloc(length, length);
        if (length > 0) bytes[0] = 1;
        cluster.network.transmit(addressOf(50), addressOf(0), bytes);
      }
      await cluster.timer.advanceAsync(2_000);
      expect(cluster.names(0)).to.have.length(3);
    });
  });

  describe('key rotation', () => {
    it('keeps all members while keys change one process at a time', async () => {
      const keyRings = new Map<number, Observable<KeyRing>>();
      for (let index = 0; index < 5; index++) {
        const keyRing = Observable.of(createKeyRing('old key'));
        keyRings.set(index, keyRing);
        await cluster.start(index, 1, keyRing);
      }
      const steps = [
        createKeyRing('old key', 'new key'),
        createKeyRing('new key', 'old key'),
        createKeyRing('new key'),
      ];
      for (const step of steps) {
        for (const keyRing of keyRings.values()) {
          keyRing.set(step);
          await cluster.timer.advanceAsync(700);
          for (const index of keyRings.keys()) {
            if (cluster.timer.now() < JOIN_MILLISECONDS) continue;
            expect(cluster.names(index)).to.have.length(5);
          }
        }
      }
    });
  });
});
