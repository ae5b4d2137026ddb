import {expect} from 'chai';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {
  Caller,
  layOut,
  NO_VIOLATIONS,
  PROFILES,
  SystemUnderTest,
  untilDone,
  Workload,
} from '../src/index.js';

const BASE_PORT = testPort(2_300);
const FAILOVER_LIMIT_MILLISECONDS = 6_000;
const AGE_SECONDS = 2;
const MILLISECONDS_A_SECOND = 1_000;
const SETTLE_MILLISECONDS = 1_000;

describe('a data centre that is cut off', () => {
  const timer = SystemTimerService.create();
  let system: SystemUnderTest;

  beforeEach(async () => {
    system = await SystemUnderTest.start(
      layOut(PROFILES.bonanno, BASE_PORT),
      timer,
    );
    const entries = system.catalogueEntries();
    await system.acceptCatalogue(entries);
    await system.untilWhole();
  });

  afterEach(() => system.stop());

  /** To the others, a stopped process is one that the network has cut off. */
  function signal(
    name: 'SIGSTOP' | 'SIGCONT',
    isMeant: (at: string) => boolean,
  ) {
    const {machines, members} = system.layout;
    for (const place of [...machines, ...members]) {
      if (isMeant(place.dataCentre)) system.processes.signal(place.name, name);
    }
  }

  function callerAt(machine: number, database: string): Caller {
    const {callerAddress} = system.machine(machine);
    return Caller.create(database, database, callerAddress, timer);
  }

  it('costs the others a failover and nothing acknowledged', async () => {
    const outside = system.layout.machines.filter(
      machine => machine.dataCentre !== 'catania',
    );
    const workload = await Workload.start(
      {
        database: 'booking-ledger-1',
        proxies: outside.map(machine => machine.callerAddress),
        callers: 4,
        readsAWrite: 2,
        thinkMilliseconds: 1,
        timer,
      },
      'cut_off',
    );
    await timer.sleep(SETTLE_MILLISECONDS);
    workload.forgetGaps();
    signal('SIGSTOP', dataCentre => dataCentre === 'catania');
    await timer.sleep(FAILOVER_LIMIT_MILLISECONDS);
    const gap = workload.longestWriteGapMilliseconds;
    signal('SIGCONT', dataCentre => dataCentre === 'catania');
    await timer.sleep(SETTLE_MILLISECONDS);
    const report = await workload.finish();
    expect(gap).to.be.lessThan(FAILOVER_LIMIT_MILLISECONDS);
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
  });

  it('serves by itself what it can, and truly refuses the rest', async () => {
    const before = callerAt(1, 'booking-ledger-1');
    await untilDone(timer, () =>
      before.run('CREATE TABLE alone (id text PRIMARY KEY)'),
    );
    await untilDone(timer, () => before.run("INSERT INTO alone VALUES ('a')"));
    const written = callerAt(1, 'booking-ledger-2');
    await untilDone(timer, () =>
      written.run('CREATE TABLE alone (id text PRIMARY KEY)'),
    );
    await timer.sleep(SETTLE_MILLISECONDS);
    const strict = callerAt(5, 'booking-ledger-1');
    await strict.run(`SET apricotlock.max_staleness = '${AGE_SECONDS}s'`);
    expect(await strict.run('SELECT id FROM alone')).to.have.property(
      'kind',
      'done',
    );
    signal('SIGSTOP', dataCentre => dataCentre !== 'palermo');

    // A session whose floor the local replica has reached, after roaming.
    await before.roam(system.machine(5).callerAddress);
    const floor = await before.run('SELECT id FROM alone');
    expect(floor).to.deep.equal({kind: 'done', rows: [{id: 'a'}]});

    // A stated age, from a session that has seen nothing.
    const aged = callerAt(5, 'booking-ledger-1');
    await aged.run("SET apricotlock.max_staleness = '30s'");
    expect(await aged.run('SELECT id FROM alone')).to.have.property(
      'kind',
      'done',
    );

    // The age runs out while nothing new can come.
    await timer.sleep(AGE_SECONDS * MILLISECONDS_A_SECOND);
    expect(await strict.run('SELECT id FROM alone')).to.have.property(
      'kind',
      'notRun',
    );

    // The primary is here, its majority is not.
    const lonely = await written.run("INSERT INTO alone VALUES ('b')");
    expect(lonely.kind).to.not.equal('done');
    const change = await system
      .operator(system.machine(1))
      .putCatalogue('alone', 1, system.catalogueEntries(), false);
    expect(change.isLeft()).to.equal(true);

    signal('SIGCONT', dataCentre => dataCentre !== 'palermo');
    const after = callerAt(1, 'booking-ledger-2');
    await untilDone(timer, () => after.run("INSERT INTO alone VALUES ('c')"));
    await system.untilWhole();
    const catalogue = await system.operator(system.machine(1)).catalogue();
    expect(catalogue.unsafeCoerce().version).to.be.at.least(1);
    await Promise.all(
      [before, written, aged, strict, after].map(caller => caller.close()),
    );
  });
});
