import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {BackendConnection} from '../src/backend_connection.js';
import {ConnectionMonitor} from '../src/connection_monitor.js';
import {ConnectionPool} from '../src/connection_pool.js';
import {FakeBackend, settle} from './fake_backend.js';

const NEVER = new Promise<void>(() => undefined);

describe('ConnectionMonitor', () => {
  let timer: ManualTimerService;
  let backend: FakeBackend;
  let pool: ConnectionPool;
  let monitor: ConnectionMonitor;
  let memberLost: boolean;

  beforeEach(async () => {
    timer = ManualTimerService.create();
    backend = new FakeBackend();
    memberLost = false;
    pool = ConnectionPool.create(backend.open, timer);
    pool.setMaximum(4);
    pool.keepWarm(3);
    await settle();
    monitor = ConnectionMonitor.start(pool, timer, () => memberLost);
  });

  afterEach(() => monitor.stop());

  async function advanceTime(milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
      timer.advance(50);
      await settle();
    }
  }

  function startStatement(): BackendConnection {
    const connection = pool.acquire() as BackendConnection;
    void monitor.watch(connection, NEVER);
    return connection;
  }

  /** Makes existing connections silent permanently; new ones reply. */
  async function silenceExistingConnections(): Promise<void> {
    backend.silent = true;
    await advanceTime(700);
    backend.silent = false;
  }

  it('replaces idle connections that have become silent', async () => {
    const before = pool.idleConnections;
    await silenceExistingConnections();
    await advanceTime(1_500);
    expect(pool.idleConnections).to.have.length(3);
    expect(before.some(({usable}) => usable)).to.equal(false);
  });

  it('abandons a statement if connections of its age are silent', async () => {
    const connection = startStatement();
    await silenceExistingConnections();
    await advanceTime(2_000);
    expect(connection.usable).to.equal(false);
    expect(connection.mayStillRun).to.equal(true);
  });

  it('keeps a long statement while connections of its age reply', async () => {
    const connection = startStatement();
    await advanceTime(30_000);
    expect(connection.usable).to.equal(true);
  });

  it('abandons a statement after 2 s when the member is lost', async () => {
    const connection = startStatement();
    memberLost = true;
    await advanceTime(1_500);
    expect(connection.usable).to.equal(true);
    await advanceTime(1_500);
    expect(connection.usable).to.equal(false);
  });
});
