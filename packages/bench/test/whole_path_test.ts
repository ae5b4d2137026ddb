import {expect} from 'chai';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {
  createLayout,
  NO_VIOLATIONS,
  PROFILES,
  SystemUnderTest,
  Workload,
  WorkloadReport,
} from '../src/index.js';

const BASE_PORT = testPort(100);
const FAILOVER_LIMIT_MILLISECONDS = 6_000;
const BEFORE_FAULT_MILLISECONDS = 500;

describe('the path from callers to members on real processes', () => {
  const timer = SystemTimerService.create();
  const database = 'booking-ledger-1';
  let system: SystemUnderTest;

  before(async () => {
    system = await SystemUnderTest.start(
      createLayout(PROFILES.bonanno, BASE_PORT),
      timer,
    );
    const entries = system.catalogueEntries();
    await system.putFirstCatalogue(entries);
    await system.waitForDatabases();
  });

  after(() => system.stop());

  async function runUnderLoad(
    table: string,
    fault: () => Promise<void>,
  ): Promise<WorkloadReport> {
    const workload = await Workload.start(
      {
        database,
        proxies: system.layout.machines.map(machine => machine.callerAddress),
        callers: 4,
        readsPerWrite: 2,
        thinkMilliseconds: 1,
        timer,
      },
      table,
    );
    await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    await fault();
    return workload.finish();
  }

  it('lets sessions read their own writes through other proxies', async () => {
    const report = await runUnderLoad('roaming', async () => undefined);
    expect(report.writes).to.be.greaterThan(0);
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
  });

  it('loses no acknowledged write when a primary is killed', async () => {
    const report = await runUnderLoad('killed', async () => {
      await system.sendCommand(`${database}-a`, 'kill');
      await timer.sleep(FAILOVER_LIMIT_MILLISECONDS / 2);
    });
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    expect(report.longestWriteGapMilliseconds).to.be.lessThan(
      FAILOVER_LIMIT_MILLISECONDS,
    );
  });
});
