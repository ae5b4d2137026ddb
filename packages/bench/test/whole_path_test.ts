import {expect} from 'chai';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {
  layOut,
  NO_VIOLATIONS,
  PROFILES,
  SystemUnderTest,
  Workload,
  WorkloadReport,
} from '../src/index.js';

const BASE_PORT = testPort(100);
const FAILOVER_LIMIT_MILLISECONDS = 6_000;
const BEFORE_FAULT_MILLISECONDS = 500;

describe('the whole path, on real processes', () => {
  const timer = SystemTimerService.create();
  const database = 'booking-ledger-1';
  let system: SystemUnderTest;

  before(async () => {
    system = await SystemUnderTest.start(
      layOut(PROFILES.bonanno, BASE_PORT),
      timer,
    );
    const entries = system.catalogueEntries();
    await system.acceptCatalogue(entries);
    await system.untilWhole();
  });

  after(() => system.stop());

  async function underLoad(
    table: string,
    fault: () => Promise<void>,
  ): Promise<WorkloadReport> {
    const workload = await Workload.start(
      {
        database,
        proxies: system.layout.machines.map(machine => machine.callerAddress),
        callers: 4,
        readsAWrite: 2,
        thinkMilliseconds: 1,
        timer,
      },
      table,
    );
    await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    await fault();
    return workload.finish();
  }

  it('shows roaming sessions what they wrote', async () => {
    const report = await underLoad('roaming', async () => undefined);
    expect(report.writes).to.be.greaterThan(0);
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
  });

  it('loses nothing acknowledged when a primary dies', async () => {
    const report = await underLoad('killed', async () => {
      await system.command(`${database}-a`, 'kill');
      await timer.sleep(FAILOVER_LIMIT_MILLISECONDS / 2);
    });
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    expect(report.longestWriteGapMilliseconds).to.be.lessThan(
      FAILOVER_LIMIT_MILLISECONDS,
    );
  });
});
