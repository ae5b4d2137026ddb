import {expect} from 'chai';
import {Left} from 'purify-ts';
import {ManualTimerService} from '@apricotlock/timer';
import {ConnectionPool} from '../src/connection_pool.js';
import {FakeBackend, settle} from './fake_backend.js';

describe('ConnectionPool', () => {
  let timer: ManualTimerService;
  let backend: FakeBackend;

  beforeEach(() => {
    timer = ManualTimerService.create();
    backend = new FakeBackend();
  });

  it('opens four at a time and never exceeds its maximum', async () => {
    const attempts: Array<() => void> = [];
    const pool = ConnectionPool.create(async abort => {
      await new Promise<void>(resolve => attempts.push(resolve));
      return backend.open(abort);
    }, timer);
    pool.setMaximum(6);
    pool.setUsableCount(50);
    expect(attempts).to.have.length(4);
    attempts.splice(0).forEach(finish => finish());
    await settle();
    expect(attempts, 'remaining attempts').to.have.length(2);
    expect(pool.openCount).to.equal(6);
  });

  it('opens connections in advance and replaces discarded ones', async () => {
    const pool = ConnectionPool.create(backend.open, timer);
    pool.setMaximum(10);
    pool.keepWarm(3);
    await settle();
    expect(pool.idleConnections).to.have.length(3);
    const connection = pool.acquire();
    if (connection !== undefined) pool.discard(connection);
    await settle();
    expect(pool.idleConnections).to.have.length(3);
    expect(backend.openedCount).to.equal(4);
  });

  it('retries after a refusal without reporting an outage', async () => {
    let unreachableCount = 0;
    backend.refusesConnections = true;
    const pool = ConnectionPool.create(backend.open, timer);
    pool.onUnreachable(() => (unreachableCount += 1));
    pool.setMaximum(2);
    pool.setUsableCount(1);
    await settle();
    expect(backend.abortSignals, 'no immediate retry').to.have.length(1);
    backend.refusesConnections = false;
    timer.advance(100);
    await settle();
    expect(pool.idleConnections).to.have.length(1);
    expect(unreachableCount).to.equal(0);
  });

  it('reports an outage when no connection can be opened', async () => {
    let unreachableCount = 0;
    const pool = ConnectionPool.create(
      async () => Left({kind: 'unreachable', reason: 'ECONNREFUSED'}),
      timer,
    );
    pool.onUnreachable(() => (unreachableCount += 1));
    pool.setMaximum(2);
    pool.setUsableCount(1);
    await settle();
    expect(unreachableCount).to.equal(1);
  });

  it('counts a timed-out attempt until it has ended', async () => {
    let endAttempt: () => void = () => undefined;
    const pool = ConnectionPool.create(async abort => {
      await new Promise<void>(resolve => (endAttempt = resolve));
      return Left({kind: 'unreachable', reason: String(abort.aborted)});
    }, timer);
    pool.setMaximum(1);
    pool.setUsableCount(1);
    await settle();
    timer.advance(1_500);
    await settle();
    expect(pool.openCount).to.equal(1);
    endAttempt();
    await settle();
    expect(pool.openCount).to.equal(0);
  });
});
