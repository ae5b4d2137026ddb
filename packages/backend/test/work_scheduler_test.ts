import {expect} from 'chai';
import {Either} from 'purify-ts';
import {ManualTimerService} from '@apricotlock/timer';
import {ScheduleError} from '../src/schedule_error.js';
import {Turn} from '../src/turn.js';
import {WorkRequest, WorkScheduler} from '../src/work_scheduler.js';
import {
  allowance,
  FakeBackend,
  limitsOf,
  schedulerOver,
  settle,
  wish,
} from './fake_backend.js';

describe('WorkScheduler', () => {
  let timer: ManualTimerService;
  let backend: FakeBackend;
  let started: Array<{readonly request: WorkRequest; readonly turn: Turn}>;
  let refused: ScheduleError[];

  beforeEach(() => {
    timer = ManualTimerService.create();
    backend = new FakeBackend();
    started = [];
    refused = [];
  });

  function begin(scheduler: WorkScheduler, request: WorkRequest): void {
    const note = (begun: Either<ScheduleError, Turn>) =>
      begun.caseOf({
        Left: error => void refused.push(error),
        Right: turn => void started.push({request, turn}),
      });
    void scheduler.begin(request).then(note);
  }

  /** Begins what waits, each statement taking 10 ms, `count` times. */
  async function serve(count: number): Promise<readonly WorkRequest[]> {
    const served: WorkRequest[] = [];
    while (served.length < count) {
      await settle();
      const next = started.shift();
      if (next === undefined) break;
      served.push(next.request);
      timer.advance(10);
      await next.turn.giveBack();
    }
    return served;
  }

  describe('limits', () => {
    it('gives an entry no more slots than its own', async () => {
      const limits = limitsOf([allowance('holds', {slots: 2})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      for (let index = 0; index < 5; index++) {
        begin(scheduler, wish('holds', `${index}`));
      }
      await settle();
      expect(started).to.have.length(2);
      await started[0]?.turn.giveBack();
      await settle();
      expect(started).to.have.length(3);
    });

    it('lets an open transaction keep its connection but no slot', async () => {
      const limits = limitsOf([allowance('holds', {connections: 2, slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      for (let index = 0; index < 3; index++) {
        begin(scheduler, wish('holds', `${index}`));
      }
      await settle();
      expect(started).to.have.length(1);
      started[0]?.turn.freeSlot();
      await settle();
      expect(started).to.have.length(2);
      started[1]?.turn.freeSlot();
      await settle();
      expect(started, 'no third connection').to.have.length(2);
    });

    it('gives a slot to an open transaction before new ones', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      begin(scheduler, wish('holds', 'first'));
      await settle();
      started[0]?.turn.freeSlot();
      begin(scheduler, wish('holds', 'second'));
      await settle();
      begin(scheduler, wish('holds', 'third'));
      const again = started[0]?.turn.takeSlot(1_000);
      await settle();
      await started[1]?.turn.giveBack();
      expect(await again).to.equal(true);
      expect(started).to.have.length(2);
    });

    it('takes new limits over without ending what has begun', async () => {
      const entry = allowance('holds', {slots: 1, connections: 1});
      const {pool, scheduler} = schedulerOver(
        backend,
        {entries: [entry], connections: 1, slots: 1},
        timer,
      );
      begin(scheduler, wish('holds', 'first'));
      begin(scheduler, wish('holds', 'second'));
      await settle();
      expect(started).to.have.length(1);
      const more = allowance('holds', {slots: 2, connections: 2});
      scheduler.setLimits({entries: [more], connections: 2, slots: 2});
      await settle();
      expect(started).to.have.length(2);
      scheduler.setLimits({entries: [entry], connections: 1, slots: 1});
      expect(started[0]?.turn.connection.usable).to.equal(true);
      await started[0]?.turn.giveBack();
      expect(pool.openCount).to.equal(1);
    });
  });

  describe('refusals', () => {
    it('refuses at once what a full queue cannot take', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1, queueLength: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      begin(scheduler, wish('holds', 'runs'));
      await settle();
      begin(scheduler, wish('holds', 'waits'));
      begin(scheduler, wish('holds', 'refused'));
      await settle();
      expect(refused.map(({kind}) => kind)).to.deep.equal(['overloaded']);
    });

    it('refuses at once what would wait beyond its deadline', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      begin(scheduler, wish('holds', 'measured'));
      await serve(1);
      for (let index = 0; index < 8; index++) {
        begin(scheduler, wish('holds', `${index}`, {waitMilliseconds: 50}));
      }
      await settle();
      expect(refused.length).to.be.within(1, 3);
      const [first] = refused;
      expect(first).to.include({kind: 'overloaded'});
      const hint =
        first?.kind === 'overloaded' ? first.retryAfterMilliseconds : 0;
      expect(hint).to.be.within(50, 70);
    });

    it('refuses when time ran out in the queue', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      begin(scheduler, wish('holds', 'runs'));
      await settle();
      begin(scheduler, wish('holds', 'waits'));
      timer.advance(1_000);
      await settle();
      expect(refused.map(({kind}) => kind)).to.deep.equal(['overloaded']);
    });

    it('forgets a caller that went away while it waited', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      begin(scheduler, wish('holds', 'runs'));
      await settle();
      const abandoned = Promise.resolve();
      begin(scheduler, wish('holds', 'gone', {abandoned}));
      await settle();
      await started[0]?.turn.giveBack();
      await settle();
      expect(started).to.have.length(1);
      expect(refused).to.deep.equal([{kind: 'abandoned'}]);
    });

    it('knows only the entries of the catalogue', async () => {
      const {scheduler} = schedulerOver(backend, limitsOf([]), timer);
      begin(scheduler, wish('holds', 'first'));
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
        begin(scheduler, wish('greedy', `${index}`, wait));
        begin(scheduler, wish('critical', `${index}`, wait));
      }
      const served = await serve(50);
      const critical = served.filter(({entry}) => entry === 'critical');
      expect(critical.length).to.be.within(36, 42);
    });

    it('serves an entry that was idle soon, but not for its past', async () => {
      const limits = limitsOf([allowance('greedy'), allowance('quiet')], 1);
      const {scheduler} = schedulerOver(backend, limits, timer);
      const wait = {waitMilliseconds: 100_000};
      for (let index = 0; index < 100; index++) {
        begin(scheduler, wish('greedy', `${index}`, wait));
      }
      await serve(30);
      for (let index = 0; index < 20; index++) {
        begin(scheduler, wish('quiet', `${index}`, wait));
      }
      const served = await serve(10);
      const quiet = served.filter(({entry}) => entry === 'quiet');
      expect(quiet.length).to.be.within(4, 6);
    });

    it('lets the sessions of an entry take turns', async () => {
      const limits = limitsOf([allowance('holds', {slots: 1})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      for (let index = 0; index < 5; index++) {
        begin(scheduler, wish('holds', 'greedy'));
      }
      begin(scheduler, wish('holds', 'other'));
      const served = await serve(3);
      expect(served.map(({session}) => session)).to.include('other');
    });

    it('keeps room for writes among many reads', async () => {
      const limits = limitsOf([allowance('holds', {slots: 2})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      begin(scheduler, wish('holds', 'writer'));
      await serve(1);
      for (let index = 0; index < 10; index++) {
        begin(scheduler, wish('holds', `${index}`, {purpose: 'read'}));
      }
      await settle();
      expect(started, 'reads leave a slot').to.have.length(1);
      begin(scheduler, wish('holds', 'writer'));
      await settle();
      expect(started[1]?.request.purpose).to.equal('write');
    });

    it('lets reads use everything where nobody writes', async () => {
      const limits = limitsOf([allowance('holds', {slots: 2})]);
      const {scheduler} = schedulerOver(backend, limits, timer);
      for (let index = 0; index < 10; index++) {
        begin(scheduler, wish('holds', `${index}`, {purpose: 'read'}));
      }
      await settle();
      expect(started).to.have.length(2);
    });
  });
});
