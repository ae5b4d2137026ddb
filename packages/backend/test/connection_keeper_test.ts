import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {BackendConnection} from '../src/backend_connection.js';
import {ConnectionKeeper} from '../src/connection_keeper.js';
import {ConnectionPool} from '../src/connection_pool.js';
import {FakeBackend, settle} from './fake_backend.js';

const NEVER = new Promise<void>(() => undefined);

describe('ConnectionKeeper', () => {
  let timer: ManualTimerService;
  let backend: FakeBackend;
  let pool: ConnectionPool;
  let keeper: ConnectionKeeper;
  let memberGone: boolean;

  beforeEach(async () => {
    timer = ManualTimerService.create();
    backend = new FakeBackend();
    memberGone = false;
    pool = ConnectionPool.create(backend.open, timer);
    pool.setMaximum(4);
    pool.keepWarm(3);
    await settle();
    keeper = ConnectionKeeper.start(pool, timer, () => memberGone);
  });

  afterEach(() => keeper.stop());

  async function pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      timer.advance(50);
      await settle();
    }
  }

  function run(): BackendConnection {
    const connection = pool.take() as BackendConnection;
    void keeper.watch(connection, NEVER);
    return connection;
  }

  /** Old connections are silent for good; new ones work. */
  async function forget(): Promise<void> {
    backend.silent = true;
    await pass(700);
    backend.silent = false;
  }

  it('replaces idle connections that went silent', async () => {
    const before = pool.idleConnections;
    await forget();
    await pass(1_500);
    expect(pool.idleConnections).to.have.length(3);
    expect(before.some(({usable}) => usable)).to.equal(false);
  });

  it('gives up a statement whose like have gone silent', async () => {
    const connection = run();
    await forget();
    await pass(2_000);
    expect(connection.usable).to.equal(false);
    expect(connection.mayStillRun).to.equal(true);
  });

  it('leaves a long statement alone while its like answer', async () => {
    const connection = run();
    await pass(30_000);
    expect(connection.usable).to.equal(true);
  });

  it('gives up a statement of a member that is gone', async () => {
    const connection = run();
    memberGone = true;
    await pass(1_500);
    expect(connection.usable).to.equal(true);
    await pass(1_500);
    expect(connection.usable).to.equal(false);
  });
});
