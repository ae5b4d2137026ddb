import {expect} from 'chai';
import {Either} from 'purify-ts';
import {ManualTimerService} from '@apricotlock/timer';
import {QueueRefusal, WorkQueue} from '../src/index.js';

const NEVER = new Promise<never>(() => undefined);
const HIGH = 1;
const LOW = 2;

/** A member with slots and connections, as the queue sees it. */
class FakeMember {
  readonly timer = ManualTimerService.create();
  readonly started: string[] = [];
  free: number;
  wanted = 0;
  readonly queue: WorkQueue<number>;

  constructor(slots: number, connections: number) {
    this.free = connections;
    this.queue = WorkQueue.create<number>({
      slots,
      timer: this.timer,
      take: () => (this.free > 0 ? this.free-- : undefined),
      wanted: count => {
        this.wanted = count;
      },
    });
  }

  begin(name: string, priority: number, wait: number, objective = wait) {
    const demand = {
      priority,
      waitMilliseconds: wait,
      objectiveMilliseconds: objective,
    };
    const outcome = this.queue.begin(demand, NEVER);
    void outcome.then(turn => {
      if (turn.isRight()) this.started.push(name);
    });
    return outcome;
  }

  async end(held: number): Promise<void> {
    this.free += 1;
    this.queue.ended(held);
    await settle();
  }
}

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

function waitOf(turn: Either<QueueRefusal, unknown>): number {
  return (turn.extract() as QueueRefusal).expectedWaitMilliseconds;
}

describe('WorkQueue', () => {
  describe('under more work than slots', () => {
    it('starts the higher priority first, and the older within one', async () => {
      const member = new FakeMember(1, 4);
      void member.begin('running', LOW, 1_000);
      void member.begin('low', LOW, 1_000);
      void member.begin('high', HIGH, 1_000);
      void member.begin('high later', HIGH, 1_000);
      await settle();
      for (let ended = 0; ended < 3; ended++) await member.end(10);
      expect(member.started).to.deep.equal([
        'running',
        'high',
        'high later',
        'low',
      ]);
    });

    it('lets an open transaction go on before new work', async () => {
      const member = new FakeMember(1, 4);
      void member.begin('running', HIGH, 1_000);
      void member.begin('new', HIGH, 1_000);
      const goesOn = member.queue.goOn(1_000);
      await member.end(10);
      expect((await goesOn).isRight()).to.equal(true);
      expect(member.started).to.deep.equal(['running']);
    });

    it('refuses at once what would wait too long, and says how long', async () => {
      const member = new FakeMember(2, 20);
      const outcomes = Array.from({length: 30}, (_, index) =>
        member.begin(`work ${index}`, LOW, 60),
      );
      await settle();
      const settled = await Promise.all(
        outcomes.map(outcome =>
          Promise.race([outcome, Promise.resolve('waits' as const)]),
        ),
      );
      const refused = settled.filter(
        outcome => outcome !== 'waits' && outcome.isLeft(),
      );
      expect(refused.length).to.be.above(15);
      const [first] = refused as Array<Either<QueueRefusal, unknown>>;
      expect(waitOf(first as Either<QueueRefusal, unknown>)).to.be.above(60);
    });

    it('does not count what is less urgent as being ahead', async () => {
      const member = new FakeMember(1, 20);
      for (let count = 0; count < 8; count++) {
        void member.begin(`low ${count}`, LOW, 100);
      }
      const urgent = member.begin('urgent', HIGH, 30);
      await member.end(5);
      expect((await urgent).isRight()).to.equal(true);
    });

    it('withdraws work whose time is over, which never starts', async () => {
      const member = new FakeMember(1, 4);
      void member.begin('running', LOW, 1_000);
      const waiting = member.begin('late', LOW, 50);
      await member.timer.advanceTasks(60);
      expect((await waiting).isLeft()).to.equal(true);
      await member.end(70);
      expect(member.started).to.deep.equal(['running']);
    });

    it('learns how long statements take', async () => {
      const member = new FakeMember(1, 4);
      for (let count = 0; count < 60; count++) {
        void member.begin('slow', LOW, 10_000);
        await settle();
        await member.end(200);
      }
      void member.begin('slow', LOW, 10_000);
      await settle();
      expect(member.queue.expectedWaitMilliseconds).to.be.above(150);
    });
  });

  describe('under the backlog of an outage', () => {
    const MEAN_MILLISECONDS = 12;
    const OBJECTIVE_MILLISECONDS = 100;
    const BACKLOG = 40;
    const NEWCOMERS = 20;

    it('answers newcomers in time, and the backlog after them', async () => {
      const member = new FakeMember(2, 200);
      for (let index = 0; index < BACKLOG; index++) {
        void member.begin(`backlog ${index}`, LOW, 1_000, 0);
      }
      const inTime: string[] = [];
      // Newcomers take two thirds of what the member can do.
      for (let step = 0; step < NEWCOMERS; step++) {
        const arrivedAt = member.timer.now();
        const name = `new ${step}`;
        const begun = member.begin(name, LOW, 480, OBJECTIVE_MILLISECONDS);
        void begun.then(() => {
          const spent = member.timer.now() - arrivedAt + MEAN_MILLISECONDS;
          if (spent <= OBJECTIVE_MILLISECONDS) inTime.push(name);
        });
        await member.timer.advanceTasks(9);
        await member.end(MEAN_MILLISECONDS);
        if (step % 2 === 0) await member.end(MEAN_MILLISECONDS);
      }
      expect(inTime).to.have.lengthOf(NEWCOMERS);
      const served = member.started.filter(name => name.startsWith('backlog'));
      expect(served.length).to.be.above(5);
    });

    it('puts work that has become late behind what can be in time', async () => {
      const member = new FakeMember(1, 10);
      void member.begin('running', LOW, 1_000);
      void member.begin('overtaken', LOW, 1_000, 50);
      await member.timer.advanceTasks(60);
      void member.begin('fresh', LOW, 1_000, OBJECTIVE_MILLISECONDS);
      await member.end(60);
      await member.end(MEAN_MILLISECONDS);
      expect(member.started).to.deep.equal(['running', 'fresh', 'overtaken']);
    });
  });

  describe('without a free connection', () => {
    it('says how many it waits for, and starts when one is free', async () => {
      const member = new FakeMember(2, 0);
      void member.begin('one', LOW, 1_000);
      void member.begin('two', LOW, 1_000);
      await settle();
      expect(member.wanted).to.equal(2);
      member.free = 2;
      member.queue.connectionsChanged();
      await settle();
      expect(member.started).to.deep.equal(['one', 'two']);
    });

    it('refuses what waits once there will be none', async () => {
      const member = new FakeMember(2, 0);
      const waiting = member.begin('one', LOW, 1_000);
      member.queue.refuseAll();
      expect((await waiting).isLeft()).to.equal(true);
    });
  });
});
