import {expect} from 'chai';
import {Either} from 'purify-ts';
import {ManualTimerService} from '@apricotlock/timer';
import {QueueRefusal, QueueRequester, WorkQueue} from '../src/index.js';

const NEVER = new Promise<never>(() => undefined);
const HIGH = 1;
const LOW = 2;

/** A member with slots and connections, as seen by the queue. */
class FakeMember {
  readonly timer = ManualTimerService.create();
  readonly started: string[] = [];
  free: number;
  requestedConnections = 0;
  readonly queue: WorkQueue<number>;

  constructor(slots: number, connections: number) {
    this.free = connections;
    this.queue = WorkQueue.create<number>({
      slots,
      timer: this.timer,
      takeConnection: () => (this.free > 0 ? this.free-- : undefined),
      requestConnections: demands => {
        this.requestedConnections = demands[0]?.waiting ?? 0;
      },
    });
  }

  submit(
    name: string,
    priority: number,
    wait: number,
    objective = wait,
    requester: QueueRequester = {},
  ) {
    const request = {
      ...requester,
      priority,
      waitMilliseconds: wait,
      objectiveMilliseconds: objective,
    };
    const outcome = this.queue.acquireSlotAndConnection(request, NEVER);
    void outcome.then(admission => {
      if (admission.isRight()) this.started.push(name);
    });
    return outcome;
  }

  async finish(held: number): Promise<void> {
    this.free += 1;
    this.queue.releaseSlot(held);
    await settle();
  }
}

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

function expectedWaitOf(admission: Either<QueueRefusal, unknown>): number {
  return (admission.extract() as QueueRefusal).expectedWaitMilliseconds;
}

describe('WorkQueue', () => {
  describe('with more work than slots', () => {
    it('starts work by priority, then by age', async () => {
      const member = new FakeMember(1, 4);
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
      const member = new FakeMember(1, 4);
      void member.submit('running', HIGH, 1_000);
      void member.submit('new', HIGH, 1_000);
      const transactionSlot = member.queue.acquireTransactionSlot(1_000);
      await member.finish(10);
      expect((await transactionSlot).isRight()).to.equal(true);
      expect(member.started).to.deep.equal(['running']);
    });

    it('refuses work at once that would wait too long, with an estimate', async () => {
      const member = new FakeMember(2, 20);
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
      const member = new FakeMember(1, 20);
      for (let count = 0; count < 8; count++) {
        void member.submit(`low ${count}`, LOW, 100);
      }
      const urgent = member.submit('urgent', HIGH, 30);
      await member.finish(5);
      expect((await urgent).isRight()).to.equal(true);
    });

    it('never starts work whose wait limit has passed', async () => {
      const member = new FakeMember(1, 4);
      void member.submit('running', LOW, 1_000);
      const waiting = member.submit('late', LOW, 50);
      await member.timer.advanceAsync(60);
      expect((await waiting).isLeft()).to.equal(true);
      await member.finish(70);
      expect(member.started).to.deep.equal(['running']);
    });

    it('adapts its expected wait to the duration of statements', async () => {
      const member = new FakeMember(1, 4);
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
      const member = new FakeMember(2, 200);
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
      const member = new FakeMember(1, 10);
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
    const member = new FakeMember(1, 1_000);
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

  describe('with organisations', () => {
    const LONG = 100_000;
    const A = {organisation: 'a'};
    const B = {organisation: 'b'};

    async function startOrder(
      member: FakeMember,
      count: number,
    ): Promise<string> {
      const before = member.started.length;
      for (let ended = 0; ended < count; ended++) await member.finish(12);
      return member.started.slice(before).join('');
    }

    function submitMany(
      member: FakeMember,
      count: number,
      requester: QueueRequester,
      priority = LOW,
    ): void {
      for (let each = 0; each < count; each++) {
        const name = requester.organisation ?? '';
        void member.submit(name, priority, LONG, LONG, requester);
      }
    }

    it('shares slots equally, whatever the length of a backlog', async () => {
      const member = new FakeMember(1, 100);
      submitMany(member, 20, A);
      submitMany(member, 3, B);
      await settle();
      expect(await startOrder(member, 8)).to.equal('bababaaa');
    });

    it('shares slots by the weights of organisations', async () => {
      const member = new FakeMember(1, 100);
      submitMany(member, 20, {...A, organisationPriority: 1});
      submitMany(member, 20, {...B, organisationPriority: 0});
      await settle();
      const order = await startOrder(member, 12);
      expect(order.replaceAll('a', '')).to.have.lengthOf(8);
    });

    it('gives no claim to a share that was not used', async () => {
      const member = new FakeMember(1, 100);
      submitMany(member, 20, A);
      await startOrder(member, 10);
      submitMany(member, 10, B);
      expect(await startOrder(member, 6)).to.equal('bababa');
    });

    it('puts the priority of work before shares', async () => {
      const member = new FakeMember(1, 100);
      submitMany(member, 5, B);
      submitMany(member, 5, A, HIGH);
      await settle();
      expect(await startOrder(member, 6)).to.equal('aaaaab');
    });

    it('counts the statements of transactions towards the share', async () => {
      const member = new FakeMember(1, 100);
      submitMany(member, 6, A);
      submitMany(member, 6, B);
      const owner = {
        ...A,
        priority: LOW,
        waitMilliseconds: LONG,
        objectiveMilliseconds: LONG,
      };
      for (let count = 0; count < 3; count++) {
        void member.queue.acquireTransactionSlot(LONG, owner);
      }
      await settle();
      // Three statements of a transaction, then what they cost.
      expect(await startOrder(member, 8)).to.equal('bbbba');
    });

    it('skips work whose organisation has no free connection', async () => {
      const member = new FakeMember(2, 1);
      submitMany(member, 2, A);
      submitMany(member, 2, B);
      await settle();
      expect(member.started).to.deep.equal(['a']);
    });

    it('refuses no work of an organisation because of a backlog of another', async () => {
      const member = new FakeMember(1, 100);
      submitMany(member, 50, A);
      const refused = member.submit('a', LOW, 100, 100, A);
      const admitted = member.submit('b', LOW, 100, 100, B);
      expect((await refused).isLeft()).to.equal(true);
      await member.finish(12);
      expect((await admitted).isRight()).to.equal(true);
      expect(member.queue.expectedWaitOf(A)).to.be.above(
        member.queue.expectedWaitOf(B),
      );
    });
  });

  describe('without a free connection', () => {
    it('requests connections and starts work when one is free', async () => {
      const member = new FakeMember(2, 0);
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
      const member = new FakeMember(2, 0);
      const waiting = member.submit('one', LOW, 1_000);
      member.queue.refuseQueuedWork();
      expect((await waiting).isLeft()).to.equal(true);
    });
  });
});
