import {expect} from 'chai';
import {createChannelPair, ChannelPair} from '@apricotlock/peer';
import {Observable} from '@apricotlock/flow';
import {GroupWatch} from '@apricotlock/group';
import {ManualTimerService} from '@apricotlock/timer';
import {queryMessage} from '@apricotlock/wire';
import {ConnectionMonitor} from '../src/connection_monitor.js';
import {ConnectionPool} from '../src/connection_pool.js';
import {LeaseAdmission} from '../src/lease_admission.js';
import {
  LeaseOwnerMessage,
  LeaseRequest,
  LeaseClientMessage,
} from '../src/lease_messages.js';
import {LeaseServer} from '../src/lease_server.js';
import {WorkScheduler} from '../src/work_scheduler.js';
import {
  allowance,
  FakeBackend,
  limitsOf,
  schedulerOver,
  settle,
} from './fake_backend.js';

const GROUP = {
  database: 'ledger',
  size: 1,
  term: 1,
  primary: 'ledger-a',
  members: [{name: 'ledger-a', state: 'active'}],
};
const STATUS = {role: 'primary', term: 1, received: 1n, applied: 1n};
const REQUEST: LeaseRequest = {
  database: 'ledger',
  member: 'ledger-a',
  entry: 'holds',
  session: 'first',
  purpose: 'write',
  term: 1,
  floor: undefined,
  floorWaitMilliseconds: 0,
  queueMilliseconds: 1_000,
};

describe('LeaseServer', () => {
  let timer: ManualTimerService;
  let backend: FakeBackend;
  let pool: ConnectionPool;
  let scheduler: WorkScheduler;
  let monitor: ConnectionMonitor;

  beforeEach(() => {
    timer = ManualTimerService.create();
    backend = new FakeBackend();
    const limits = limitsOf([allowance('holds', {slots: 1, connections: 1})]);
    ({pool, scheduler} = schedulerOver(backend, limits, timer));
    monitor = ConnectionMonitor.start(pool, timer, () => false);
  });

  afterEach(() => monitor.stop());

  /** Serves a lease on a primary whose positions are confirmed immediately. */
  function serve(): ChannelPair<LeaseClientMessage, LeaseOwnerMessage> {
    const watch = {
      group: GROUP,
      observation: () => ({status: STATUS}),
      changes: Observable.of(0),
      isReplaced: () => false,
      waitUntilConfirmed: async () => true,
      primaryPosition: async () => 1n,
    } as unknown as GroupWatch;
    const pair = createChannelPair<LeaseClientMessage, LeaseOwnerMessage>();
    const admission = LeaseAdmission.create('ledger-a', watch);
    const options = {watch, admission, scheduler, monitor, timer};
    void LeaseServer.serve(REQUEST, pair.server, options).finally(() =>
      pair.server.end(),
    );
    return pair;
  }

  function runMessage(text: string): LeaseClientMessage {
    const bytes = queryMessage(text);
    return {kind: 'run', bytes, answers: 1, reset: false};
  }

  async function kindsOf(
    pair: ChannelPair<LeaseClientMessage, LeaseOwnerMessage>,
  ) {
    const kinds: string[] = [];
    for (;;) {
      const message = await pair.client.receive();
      if (message === undefined) return kinds;
      kinds.push(message.kind);
    }
  }

  it('opens no connection before there are statements to run', async () => {
    serve();
    await settle();
    expect(backend.openedCount).to.equal(0);
  });

  it('returns the connection when the answer is complete', async () => {
    const pair = serve();
    pair.client.send(runMessage('SELECT 1'));
    expect(await kindsOf(pair)).to.deep.equal(['granted', 'finished']);
    expect(pool.idleConnections).to.have.length(1);
  });

  it('rolls back an open transaction when the client disconnects', async () => {
    backend.status = 'transaction';
    const pair = serve();
    pair.client.send(runMessage('BEGIN'));
    await settle();
    expect(pool.idleConnections).to.have.length(0);
    backend.status = 'idle';
    pair.client.end();
    await settle();
    expect(backend.received.join()).to.include('ROLLBACK');
    expect(pool.idleConnections).to.have.length(1);
  });

  it('rolls back a transaction that is idle for 60 s', async () => {
    backend.status = 'transaction';
    const pair = serve();
    pair.client.send(runMessage('BEGIN'));
    await settle();
    for (let second = 0; second <= 60; second++) {
      timer.advance(1_000);
      await settle();
    }
    expect(backend.received.join()).to.include('ROLLBACK');
    const kinds = await kindsOf(pair);
    expect(kinds[kinds.length - 1]).to.equal('finished');
  });

  it('reports a transaction as lost if its connection is silent', async () => {
    backend.status = 'transaction';
    const pair = serve();
    pair.client.send(runMessage('BEGIN'));
    await settle();
    backend.silent = true;
    timer.advance(1_000);
    await settle();
    timer.advance(300);
    await settle();
    expect(await kindsOf(pair)).to.deep.equal(['granted', 'finished', 'lost']);
    expect(pool.openCount).to.equal(0);
  });

  it('does not reuse the connection of an abandoned statement', async () => {
    backend.holdsAnswers = true;
    const first = serve();
    first.client.send(runMessage('SELECT 1'));
    await settle();
    first.client.end();
    const second = serve();
    second.client.send(runMessage('SELECT 2'));
    await settle();
    backend.release();
    const kinds = await kindsOf(second);
    expect(kinds).to.deep.equal(['granted', 'finished']);
    // A cancel request for the first connection may still reach the server.
    expect(backend.openedCount).to.equal(2);
  });
});
