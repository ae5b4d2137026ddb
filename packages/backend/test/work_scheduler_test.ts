import {expect} from 'chai';
import {Either} from 'purify-ts';
import {ManualTimerService} from '@apricotlock/timer';
import {ScheduleError} from '../src/schedule_error.js';
import {ConnectionCheckout} from '../src/connection_checkout.js';
import {WorkRequest, WorkScheduler} from '../src/work_scheduler.js';
import {
  allowance,
  FakeBackend,
  limitsOf,
  schedulerOver,
  settle,
  workRequest,
} from './fake_backend.js';

describe('WorkScheduler', () => {
  let timer: ManualTimerService;
  let backend: FakeBackend;
  let started: Array<{
    readonly request: WorkRequest;
    readonly checkout: ConnectionCheckout;
  }>;
  let refused: ScheduleError[];

  beforeEach(() => {
    timer = ManualTimerService.create();
    backend = new FakeBackend();
    started = [];
    refused = [];
  });

  function startLease(scheduler: WorkScheduler, request: WorkRequest): void {
    const recordResult = (result: Either<ScheduleError, ConnectionCheckout>) =>
      result.caseOf({
        Left: error => void refused.push(error),
        Right: checkout => void started.push({request, checkout}),
      });
    void scheduler.startLease(request).then(recordResult);
  }

  /** Runs up to `count` started statements one after another, 10 ms each. */
  async function serveStatements(
    count: number,
  ): Promise<readonly WorkRequest[]> {
    const served: WorkRequest[] = [];
    while (served.length < count) {
      await settle();
      const next = started.shift();
      if (next === undefined) break;
      served.push(next.request);
      timer.advance(10);
      await next.checkout.release();
    }
    return served;
  }

  describe('limits', () => {
    it('limits an entry to its own slots', async () => {
      const limits = limitsOf([allowance('holds', {slots: 2})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      for (let index = 0; index < 5; index++) {
        startLease(scheduler, workRequest('holds', `${index}`));
      }
      await settle();
      expect(started).to.have.length(2);
      await started[0]?.checkout.release();
      await settle();
      expect(started).to.have.length(3);
    });

    it('lets an idle transaction keep a connection but no slot', async () => {
      const limits = limitsOf([allowance('holds', {connections: 2, slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      for (let index = 0; index < 3; index++) {
        startLease(scheduler, workRequest('holds', `${index}`));
      }
      await settle();
      expect(started).to.have.length(1);
      started[0]?.checkout.releaseSlot();
      await settle();
      expect(started).to.have.length(2);
      started[1]?.checkout.releaseSlot();
      await settle();
      expect(started, 'no third connection').to.have.length(2);
    });

    it('gives a slot to an open transaction before new leases', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      startLease(scheduler, workRequest('holds', 'first'));
      await settle();
      started[0]?.checkout.releaseSlot();
      startLease(scheduler, workRequest('holds', 'second'));
      await settle();
      startLease(scheduler, workRequest('holds', 'third'));
      const slotAcquired = started[0]?.checkout.acquireSlot(1_000);
      await settle();
      await started[1]?.checkout.release();
      expect(await slotAcquired).to.equal(true);
      expect(started).to.have.length(2);
    });

    it('applies new limits without interrupting running leases', async () => {
      const entry = allowance('holds', {slots: 1, connections: 1});
      const {pool, scheduler} = schedulerOver(
        backend,
        {entries: [entry], connections: 1, slots: 1},
        timer,
      );
      startLease(scheduler, workRequest('holds', 'first'));
      startLease(scheduler, workRequest('holds', 'second'));
      await settle();
      expect(started).to.have.length(1);
      const more = allowance('holds', {slots: 2, connections: 2});
      scheduler.setLimits({entries: [more], connections: 2, slots: 2});
      await settle();
      expect(started).to.have.length(2);
      scheduler.setLimits({entries: [entry], connections: 1, slots: 1});
      expect(started[0]?.checkout.connection.usable).to.equal(true);
      await started[0]?.checkout.release();
      expect(pool.openCount).to.equal(1);
    });
  });

  describe('refusals', () => {
    it('refuses immediately when the queue is full', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1, queueLength: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      startLease(scheduler, workRequest('holds', 'runs'));
      await settle();
      startLease(scheduler, workRequest('holds', 'waits'));
      startLease(scheduler, workRequest('holds', 'refused'));
      await settle();
      expect(refused.map(({kind}) => kind)).to.deep.equal(['overloaded']);
    });

    it('refuses immediately when the expected wait is too long', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      startLease(scheduler, workRequest('holds', 'measured'));
      await serveStatements(1);
      for (let index = 0; index < 8; index++) {
        startLease(
          scheduler,
          workRequest('holds', `${index}`, {waitMilliseconds: 50}),
        );
      }
      await settle();
      expect(refused.length).to.be.within(1, 3);
      const [first] = refused;
      expect(first).to.include({kind: 'overloaded'});
      const hint =
        first?.kind === 'overloaded' ? first.retryAfterMilliseconds : 0;
      expect(hint).to.be.within(50, 70);
    });

    it('refuses a request that reaches its deadline in the queue', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      startLease(scheduler, workRequest('holds', 'runs'));
      await settle();
      startLease(scheduler, workRequest('holds', 'waits'));
      timer.advance(1_000);
      await settle();
      expect(refused.map(({kind}) => kind)).to.deep.equal(['overloaded']);
    });

    it('withdraws a request that is abandoned while it waits', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      startLease(scheduler, workRequest('holds', 'runs'));
      await settle();
      const abandoned = Promise.resolve();
      startLease(scheduler, workRequest('holds', 'gone', {abandoned}));
      await settle();
      await started[0]?.checkout.release();
      await settle();
      expect(started).to.have.length(1);
      expect(refused).to.deep.equal([{kind: 'abandoned'}]);
    });

    it('refuses requests of unknown entries', async () => {
      const {scheduler} = schedulerOver(backend, limitsOf([]), timer);
      startLease(scheduler, workRequest('holds', 'first'));
      await settle();
      expect(refused).to.deep.equal([{kind: 'unknownEntry'}]);
    });
  });

  describe('fairness', () => {
    it('shares slot time between entries by weight', async () => {
      const limits = limitsOf(
        [allowance('greedy', {}, 1), allowance('critical', {}, 4)],
        1,
      );
      const {scheduler} = schedulerOver(backend, limits, timer);
      const wait = {waitMilliseconds: 100_000};
      for (let index = 0; index < 100; index++) {
        startLease(scheduler, workRequest('greedy', `${index}`, wait));
        startLease(scheduler, workRequest('critical', `${index}`, wait));
      }
      const served = await serveStatements(50);
      const critical = served.filter(({entry}) => entry === 'critical');
      expect(critical.length).to.be.within(36, 42);
    });

    it('gives an entry no credit for the time it was idle', async () => {
      const limits = limitsOf([allowance('greedy'), allowance('quiet')], 1);
      const {scheduler} = schedulerOver(backend, limits, timer);
      const wait = {waitMilliseconds: 100_000};
      for (let index = 0; index < 100; index++) {
        startLease(scheduler, workRequest('greedy', `${index}`, wait));
      }
      await serveStatements(30);
      for (let index = 0; index < 20; index++) {
        startLease(scheduler, workRequest('quiet', `${index}`, wait));
      }
      const served = await serveStatements(10);
      const quiet = served.filter(({entry}) => entry === 'quiet');
      expect(quiet.length).to.be.within(4, 6);
    });

    it('serves the sessions of an entry round robin', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      for (let index = 0; index < 5; index++) {
        startLease(scheduler, workRequest('holds', 'greedy'));
      }
      startLease(scheduler, workRequest('holds', 'other'));
      const served = await serveStatements(3);
      expect(served.map(({session}) => session)).to.include('other');
    });

    it('reserves a slot for writes among many reads', async () => {
      const limits = limitsOf([allowance('holds', {slots: 2})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      startLease(scheduler, workRequest('holds', 'writer'));
      await serveStatements(1);
      for (let index = 0; index < 10; index++) {
        startLease(
          scheduler,
          workRequest('holds', `${index}`, {purpose: 'read'}),
        );
      }
      await settle();
      expect(started, 'reads leave one slot free').to.have.length(1);
      startLease(scheduler, workRequest('holds', 'writer'));
      await settle();
      expect(started[1]?.request.purpose).to.equal('write');
    });

    it('lets reads use all slots while there are no writes', async () => {
      const limits = limitsOf([allowance('holds', {slots: 2})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      for (let index = 0; index < 10; index++) {
        startLease(
          scheduler,
          workRequest('holds', `${index}`, {purpose: 'read'}),
        );
      }
      await settle();
      expect(started).to.have.length(2);
    });
  });
});
