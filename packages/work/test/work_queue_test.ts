import {expect} from 'chai';
import {Either} from 'purify-ts';
import {QueueRefusal} from '../src/index.js';
import {QueuedMember, settle} from './queued_member.js';

const HIGH = 1;
const LOW = 2;

function expectedWaitOf(admission: Either<QueueRefusal, unknown>): number {
  return (admission.extract() as QueueRefusal).expectedWaitMilliseconds;
}

describe('WorkQueue', () => {
  describe('with more work than slots', () => {
    it('starts work by priority, then by age', async () => {
      const member = new QueuedMember(1, 4);
      void member.submit('running', LOW, 1_000);
      void member.submit('low', LOW, 1_000);
      void member.submit('high', HIGH, 1_000);
      void member.submit('high later', HIGH, 1_000);
      await settle();
      for (let ended = 0; ended < 3; ended++) await member.finish(10);
      expect(member.started).to.deep.equal([
        'running',
        'high',
        'high later',
        'low',
      ]);
    });

    it('serves an open transaction before new work', async () => {
      const member = new QueuedMember(1, 4);
      void member.submit('running', HIGH, 1_000);
      void member.submit('new', HIGH, 1_000);
      const transactionSlot = member.queue.acquireTransactionSlot(1_000);
      await member.finish(10);
      expect((await transactionSlot).isRight()).to.equal(true);
      expect(member.started).to.deep.equal(['running']);
    });

    it('refuses work at once that would wait too long, with an estimate', async () => {
      const member = new QueuedMember(2, 20);
      const outcomes = Array.from({length: 30}, (_, index) =>
        member.submit(`work ${index}`, LOW, 60),
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
      expect(
        expectedWaitOf(first as Either<QueueRefusal, unknown>),
      ).to.be.above(60);
    });

    it('ignores work of lower priority in the expected wait', async () => {
      const member = new QueuedMember(1, 20);
      for (let count = 0; count < 8; count++) {
        void member.submit(`low ${count}`, LOW, 100);
      }
      const urgent = member.submit('urgent', HIGH, 30);
      await member.finish(5);
      expect((await urgent).isRight()).to.equal(true);
    });

    it('never starts work whose wait limit has passed', async () => {
      const member = new QueuedMember(1, 4);
      void member.submit('running', LOW, 1_000);
      const waiting = member.submit('late', LOW, 50);
      await member.timer.advanceAsync(60);
      expect((await waiting).isLeft()).to.equal(true);
      await member.finish(70);
      expect(member.started).to.deep.equal(['running']);
    });

    it('adapts its expected wait to the duration of statements', async () => {
      const member = new QueuedMember(1, 4);
      for (let count = 0; count < 60; count++) {
        void member.submit('slow', LOW, 10_000);
        await settle();
        await member.finish(200);
      }
      void member.submit('slow', LOW, 10_000);
      await settle();
      expect(member.queue.expectedWaitOf()).to.be.above(150);
    });
  });

  describe('with the backlog of an outage', () => {
    const MEAN_MILLISECONDS = 12;
    const OBJECTIVE_MILLISECONDS = 100;
    const BACKLOG = 40;
    const NEWCOMERS = 20;

    it('answers new work in time despite the backlog', async () => {
      const member = new QueuedMember(2, 200);
      for (let index = 0; index < BACKLOG; index++) {
        void member.submit(`backlog ${index}`, LOW, 1_000, 0);
      }
      const inTime: string[] = [];
      // New work uses two thirds of the capacity of the member.
      for (let step = 0; step < NEWCOMERS; step++) {
        const arrivedAt = member.timer.now();
        const name = `new ${step}`;
        const admission = member.submit(name, LOW, 480, OBJECTIVE_MILLISECONDS);
        void admission.then(() => {
          const elapsed = member.timer.now() - arrivedAt + MEAN_MILLISECONDS;
          if (elapsed <= OBJECTIVE_MILLISECONDS) inTime.push(name);
        });
        await member.timer.advanceAsync(9);
        await member.finish(MEAN_MILLISECONDS);
        if (step % 2 === 0) await member.finish(MEAN_MILLISECONDS);
      }
      expect(inTime).to.have.lengthOf(NEWCOMERS);
      const served = member.started.filter(name => name.startsWith('backlog'));
      expect(served.length).to.be.above(5);
    });

    it('serves late work after work that can meet its objective', async () => {
      const member = new QueuedMember(1, 10);
      void member.submit('running', LOW, 1_000);
      void member.submit('overtaken', LOW, 1_000, 50);
      await member.timer.advanceAsync(60);
      void member.submit('fresh', LOW, 1_000, OBJECTIVE_MILLISECONDS);
      await member.finish(60);
      await member.finish(MEAN_MILLISECONDS);
      expect(member.started).to.deep.equal(['running', 'fresh', 'overtaken']);
    });
  });

  // Guards against a change of order for deployments without organisations.
  it('orders work without organisations by priority, lateness and age', async () => {
    const member = new QueuedMember(1, 1_000);
    void member.submit('running', LOW, 1_000_000);
    let state = 1;
    const random = (limit: number) => {
      state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
      return Math.floor((state / 2 ** 32) * limit);
    };
    interface Waiting {
      readonly name: string;
      readonly priority: number;
      readonly lateAt: number;
    }
    let waiting: readonly Waiting[] = [];
    const expected = ['running'];
    // Statements take as long as the initial mean, which thus does not change.
    const mean = 12;
    for (let step = 0; step < 400; step++) {
      const priority = random(3);
      const objective = random(200);
      const name = `work ${step}`;
      void member.submit(name, priority, 1_000_000, objective);
      const now = member.timer.now();
      waiting = [...waiting, {name, priority, lateAt: now + objective}];
      await member.timer.advanceAsync(random(9));
      if (random(3) === 0) continue;
      const lateBefore = member.timer.now() + mean;
      const lateness = ({lateAt}: Waiting) => (lateAt < lateBefore ? 1 : 0);
      const [first] = waiting.toSorted(
        (left, right) =>
          left.priority - right.priority || lateness(left) - lateness(right),
      );
      waiting = waiting.filter(each => each !== first);
      expected.push(first?.name ?? '');
      await member.finish(mean);
    }
    expect(member.started).to.deep.equal(expected);
  });

  describe('without a free connection', () => {
    it('requests connections and starts work when one is free', async () => {
      const member = new QueuedMember(2, 0);
      void member.submit('one', LOW, 1_000);
      void member.submit('two', LOW, 1_000);
      await settle();
      expect(member.requestedConnections).to.equal(2);
      member.free = 2;
      member.queue.notifyConnectionAvailable();
      await settle();
      expect(member.started).to.deep.equal(['one', 'two']);
    });

    it('refuses queued work if no connection can be expected', async () => {
      const member = new QueuedMember(2, 0);
      const waiting = member.submit('one', LOW, 1_000);
      member.queue.refuseQueuedWork();
      expect((await waiting).isLeft()).to.equal(true);
    });
  });
});
