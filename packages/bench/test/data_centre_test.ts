import {expect} from 'chai';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {
  Caller,
  createLayout,
  NO_VIOLATIONS,
  PROFILES,
  SystemUnderTest,
  retryUntilDone,
  Workload,
} from '../src/index.js';

const BASE_PORT = testPort(2_300);
const FAILOVER_LIMIT_MILLISECONDS = 6_000;
const AGE_SECONDS = 2;
const MILLISECONDS_PER_SECOND = 1_000;
const SETTLE_MILLISECONDS = 1_000;

describe('an isolated data centre', () => {
  const timer = SystemTimerService.create();
  let system: SystemUnderTest;

  beforeEach(async () => {
    system = await SystemUnderTest.start(
      createLayout(PROFILES.bonanno, BASE_PORT),
      timer,
    );
    const entries = system.catalogueEntries();
    await system.putFirstCatalogue(entries);
    await system.waitForDatabases();
  });

  afterEach(() => system.stop());

  /**
   * Signals the processes in some data centres. A stopped process is as
   * unreachable to the others as an isolated one.
   */
  function signalProcesses(
    name: 'SIGSTOP' | 'SIGCONT',
    matches: (dataCentre: string) => boolean,
  ) {
    const {machines, members} = system.layout;
    for (const node of [...machines, ...members]) {
      if (matches(node.dataCentre)) system.processes.signal(node.name, name);
    }
  }

  function callerAt(machine: number, database: string): Caller {
    const {callerAddress} = system.machine(machine);
    return Caller.create(database, database, callerAddress, timer);
  }

  it('causes a failover and loses no acknowledged write elsewhere', async () => {
    const outside = system.layout.machines.filter(
      machine => machine.dataCentre !== 'catania',
    );
    const workload = await Workload.start(
      {
        database: 'booking-ledger-1',
        proxies: outside.map(machine => machine.callerAddress),
        callers: 4,
        readsPerWrite: 2,
        thinkMilliseconds: 1,
        timer,
      },
      'cut_off',
    );
    await timer.sleep(SETTLE_MILLISECONDS);
    workload.resetLongestWriteGap();
    signalProcesses('SIGSTOP', dataCentre => dataCentre === 'catania');
    await timer.sleep(FAILOVER_LIMIT_MILLISECONDS);
    const gap = workload.longestWriteGapMilliseconds;
    signalProcesses('SIGCONT', dataCentre => dataCentre === 'catania');
    await timer.sleep(SETTLE_MILLISECONDS);
    const report = await workload.finish();
    expect(gap).to.be.lessThan(FAILOVER_LIMIT_MILLISECONDS);
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
  });

  it('serves reads within their bounds and refuses the rest', async () => {
    const before = callerAt(1, 'booking-ledger-1');
    await retryUntilDone(timer, () =>
      before.run('CREATE TABLE alone (id text PRIMARY KEY)'),
    );
    await retryUntilDone(timer, () =>
      before.run("INSERT INTO alone VALUES ('a')"),
    );
    const written = callerAt(1, 'booking-ledger-2');
    await retryUntilDone(timer, () =>
      written.run('CREATE TABLE alone (id text PRIMARY KEY)'),
    );
    await timer.sleep(SETTLE_MILLISECONDS);
    const strict = callerAt(5, 'booking-ledger-1');
    await strict.run(`SET apricotlock.max_staleness = '${AGE_SECONDS}s'`);
    expect(await strict.run('SELECT id FROM alone')).to.have.property(
      'kind',
      'done',
    );
    signalProcesses('SIGSTOP', dataCentre => dataCentre !== 'palermo');

    // The local replica has reached the minimum log position of this session.
    await before.moveTo(system.machine(5).callerAddress);
    const floor = await before.run('SELECT id FROM alone');
    expect(floor).to.deep.equal({kind: 'done', rows: [{id: 'a'}]});

    // A session without a minimum log position, with a bounded staleness.
    const aged = callerAt(5, 'booking-ledger-1');
    await aged.run("SET apricotlock.max_staleness = '30s'");
    expect(await aged.run('SELECT id FROM alone')).to.have.property(
      'kind',
      'done',
    );

    // The replica receives nothing, so its data grows older than the bound.
    await timer.sleep(AGE_SECONDS * MILLISECONDS_PER_SECOND);
    expect(await strict.run('SELECT id FROM alone')).to.have.property(
      'kind',
      'notRun',
    );

    // The primary is in this data centre, but the majority is not.
    const isolatedWrite = await written.run("INSERT INTO alone VALUES ('b')");
    expect(isolatedWrite.kind).to.not.equal('done');
    const change = await system
      .operatorClient(system.machine(1))
      .putCatalogue('alone', 1, system.catalogueEntries(), false);
    expect(change.isLeft()).to.equal(true);

    signalProcesses('SIGCONT', dataCentre => dataCentre !== 'palermo');
    const after = callerAt(1, 'booking-ledger-2');
    await retryUntilDone(timer, () =>
      after.run("INSERT INTO alone VALUES ('c')"),
    );
    await system.waitForDatabases();
    const catalogue = await system
      .operatorClient(system.machine(1))
      .catalogue();
    expect(catalogue.unsafeCoerce().version).to.be.at.least(1);
    await Promise.all(
      [before, written, aged, strict, after].map(caller => caller.close()),
    );
  });
});
