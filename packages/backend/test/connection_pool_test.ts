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

  it('opens a few at a time, and never more than its maximum', async () => {
    const attempts: Array<() => void> = [];
    const pool = ConnectionPool.create(async abort => {
      await new Promise<void>(resolve => attempts.push(resolve));
      return backend.open(abort);
    }, timer);
    pool.setMaximum(6);
    pool.want(50);
    expect(attempts).to.have.length(4);
    attempts.splice(0).forEach(finish => finish());
    await settle();
    expect(attempts, 'the rest').to.have.length(2);
    expect(pool.openCount).to.equal(6);
  });

  it('keeps some open, and replaces what is lost', async () => {
    const pool = ConnectionPool.create(backend.open, timer);
    pool.setMaximum(10);
    pool.keepWarm(3);
    await settle();
    expect(pool.idleConnections).to.have.length(3);
    const taken = pool.take();
    if (taken !== undefined) pool.discard(taken);
    await settle();
    expect(pool.idleConnections).to.have.length(3);
    expect(backend.opened).to.equal(4);
  });

  it('takes a refused connection for no outage, and tries again', async () => {
    let outages = 0;
    backend.refuses = true;
    const pool = ConnectionPool.create(backend.open, timer);
    pool.onUnreachable(() => (outages += 1));
    pool.setMaximum(2);
    pool.want(1);
    await settle();
    expect(backend.aborted, 'no storm of attempts').to.have.length(1);
    backend.refuses = false;
    timer.advance(100);
    await settle();
    expect(pool.idleConnections).to.have.length(1);
    expect(outages).to.equal(0);
  });

  it('tells when there is none and none can be opened', async () => {
    let outages = 0;
    const pool = ConnectionPool.create(
      async () => Left({kind: 'unreachable', reason: 'ECONNREFUSED'}),
      timer,
    );
    pool.onUnreachable(() => (outages += 1));
    pool.setMaximum(2);
    pool.want(1);
    await settle();
    expect(outages).to.equal(1);
  });

  it('gives an attempt up, and its place free only when it is over', async () => {
    let giveUp: () => void = () => undefined;
    const pool = ConnectionPool.create(async abort => {
      await new Promise<void>(resolve => (giveUp = resolve));
      return Left({kind: 'unreachable', reason: String(abort.aborted)});
    }, timer);
    pool.setMaximum(1);
    pool.want(1);
    await settle();
    timer.advance(1_500);
    await settle();
    expect(pool.openCount).to.equal(1);
    giveUp();
    await settle();
    expect(pool.openCount).to.equal(0);
  });
});
