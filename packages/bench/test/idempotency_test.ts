import {expect} from 'chai';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {
  Caller,
  createLayout,
  NO_VIOLATIONS,
  Outcome,
  PROFILES,
  SystemUnderTest,
  retryUntilDone,
  Workload,
} from '../src/index.js';

const BASE_PORT = testPort(2_700);
const DATABASE = 'booking-ledger-1';
const BEFORE_FAULT_MILLISECONDS = 700;
const AFTER_FAULT_MILLISECONDS = 3_000;
const RETRY_PAUSE_MILLISECONDS = 50;

describe('idempotency keys on real processes', () => {
  const timer = SystemTimerService.create();
  let system: SystemUnderTest;
  let callers: readonly Caller[] = [];

  before(async () => {
    system = await SystemUnderTest.start(
      createLayout(PROFILES.bonanno, BASE_PORT),
      timer,
    );
    const entries = system.catalogueEntries();
    await system.putFirstCatalogue(entries);
    await system.waitForDatabases();
    const caller = callerAt(0);
    await retryUntilDone(timer, () =>
      caller.run('CREATE TABLE keyed (item text, number int)'),
    );
    await caller.close();
  });

  after(() => system.stop());

  beforeEach(() => {
    callers = [0, 1, 2].map(callerAt);
  });

  afterEach(() => Promise.all(callers.map(caller => caller.close())));

  function callerAt(machine: number): Caller {
    const {callerAddress} = system.machine(machine);
    return Caller.create(DATABASE, DATABASE, callerAddress, timer);
  }

  function insert(caller: number, key: string, item: string): Promise<Outcome> {
    return (callers[caller] as Caller).runKeyed(key, [
      'INSERT INTO keyed (item, number) VALUES ($1, 1) RETURNING item',
      [item],
    ]);
  }

  async function countRows(item: string): Promise<string> {
    const rows = await retryUntilDone(timer, () =>
      (callers[0] as Caller).run(
        'SELECT count(*) AS found FROM keyed WHERE item = $1',
        [item],
      ),
    );
    return String(rows[0]?.['found']);
  }

  it('return the original result to a resend and run once', async () => {
    const first = await insert(0, 'cot', 'cot');
    expect(first).to.deep.equal({kind: 'done', rows: [{item: 'cot'}]});
    expect(await insert(1, 'cot', 'cot')).to.deep.equal(first);
    expect(await insert(2, 'cot', 'cot')).to.deep.equal(first);
    expect(await countRows('cot')).to.equal('1');
  });

  it('are refused for a different request', async () => {
    await insert(0, 'seat', 'seat');
    const other = await insert(1, 'seat', 'pram');
    expect(other).to.deep.equal({kind: 'unknown', code: '22023'});
    expect(await countRows('pram')).to.equal('0');
  });

  it('can be reused after their statement has failed', async () => {
    const [caller] = callers as readonly [Caller];
    const failed = await caller.runKeyed('typo', [
      'INSERT INTO no_such_table (item) VALUES ($1)',
      ['x'],
    ]);
    expect(failed).to.have.property('code', '42P01');
    const second = await insert(1, 'typo', 'after a typo');
    expect(second.kind).to.equal('done');
    expect(await countRows('after a typo')).to.equal('1');
  });

  describe('of transactions', () => {
    const BOOKING = [
      'BEGIN',
      "INSERT INTO keyed (item, number) VALUES ('booking', 2) RETURNING number",
      "UPDATE keyed SET number = number + 1 WHERE item = 'booking'",
      'COMMIT',
    ];

    /** Runs statements under the key until one of them is not done. */
    async function runUnderKey(
      caller: Caller,
      statements: readonly string[],
    ): Promise<readonly Outcome[]> {
      const outcomes: Outcome[] = [];
      const setKey = "SET apricotlock.idempotency_key = 'booking'";
      for (const text of [setKey, ...statements]) {
        const outcome = await caller.run(text);
        outcomes.push(outcome);
        if (outcome.kind !== 'done') break;
      }
      return outcomes;
    }

    /** Repeats the whole transaction while it is refused as not run. */
    async function bookUntilRun(caller: Caller): Promise<readonly Outcome[]> {
      for (;;) {
        const outcomes = await runUnderKey(caller, BOOKING);
        if (outcomes.at(-1)?.kind !== 'notRun') return outcomes;
        await caller.close();
        await timer.sleep(RETRY_PAUSE_MILLISECONDS);
      }
    }

    it('wait for an open attempt and run the transaction once', async () => {
      const [first, second, third] = callers as readonly [
        Caller,
        Caller,
        Caller,
      ];
      const open = await runUnderKey(first, BOOKING.slice(0, 2));
      expect(open.at(-1)?.kind).to.equal('done');
      const waiting = bookUntilRun(second);
      await timer.sleep(BEFORE_FAULT_MILLISECONDS);
      // The first caller disconnects in the middle of its transaction.
      await first.close();
      const done = await waiting;
      expect(done.map(({kind}) => kind)).to.deep.equal(
        ['SET', ...BOOKING].map(() => 'done'),
      );
      expect(await bookUntilRun(third)).to.deep.equal(done);
      const [row] = await retryUntilDone(timer, () =>
        third.run("SELECT number FROM keyed WHERE item = 'booking'"),
      );
      expect(row).to.deep.equal({number: 3});
      expect(await countRows('booking')).to.equal('1');
    });
  });

  it('run writes once when primary and proxy are killed under load', async () => {
    const machines = system.layout.machines.slice(0, 4);
    const workload = await Workload.start(
      {
        database: DATABASE,
        proxies: machines.map(machine => machine.callerAddress),
        callers: 6,
        readsPerWrite: 1,
        thinkMilliseconds: 1,
        keyed: true,
        transactions: true,
        timer,
      },
      'under_keys',
    );
    await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    system.processes.signal('vm-4', 'SIGKILL');
    await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    await system.sendCommand(`${DATABASE}-a`, 'kill');
    await timer.sleep(AFTER_FAULT_MILLISECONDS);
    const report = await workload.finish();
    expect(report.writes).to.be.greaterThan(0);
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
  });
});
