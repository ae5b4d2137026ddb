import {expect} from 'chai';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {ownerOf} from '@apricotlock/topology';
import {
  Caller,
  layOut,
  MachineLayout,
  NO_VIOLATIONS,
  PROFILES,
  SystemUnderTest,
  untilDone,
  Workload,
  WorkloadReport,
} from '../src/index.js';

const BASE_PORT = testPort(1_900);
const DATABASE = 'holds';
const LOCK_ROW = "SELECT id FROM locked WHERE id = 'one' FOR UPDATE";
const CONNECTIONS = 8;
const SLOTS = 2;
const STATEMENT_MILLISECONDS = 5;
const BEFORE_FAULT_MILLISECONDS = 500;
const KILLED_LIMIT_MILLISECONDS = 4_000;
const STOPPED_LIMIT_MILLISECONDS = 8_000;
const SILENT_LIMIT_MILLISECONDS = 4_000;
const FREED_LIMIT_MILLISECONDS = 8_000;

interface WorkCounts {
  readonly maximumConnections: number;
  readonly maximumRunning: number;
}

describe('member owners, on real processes', () => {
  const timer = SystemTimerService.create();
  const profile = {
    ...PROFILES.bonanno,
    dataCentres: ['catania', 'palermo'],
    databases: [DATABASE],
  };
  let system: SystemUnderTest;
  let primary: string;
  let owner: MachineLayout;

  beforeEach(async () => {
    system = await SystemUnderTest.start(layOut(profile, BASE_PORT), timer);
    await system.acceptCatalogue(entries());
    await system.untilWhole();
    const status = (await system.operator().status()).unsafeCoerce();
    primary = status.databases[0]?.primary ?? '';
    owner = ownerNow();
  });

  afterEach(() => system.stop());

  function entries(connections = CONNECTIONS, slots = SLOTS) {
    return system.catalogueEntries().map(entry => ({
      ...entry,
      limits: {...entry.limits, connections, slots},
    }));
  }

  /** The VM that owns the primary of the moment. */
  function ownerNow(): MachineLayout {
    const {machines} = system.layout;
    const {dataCentre} = system.member(primary);
    const found = ownerOf(
      primary,
      dataCentre,
      machines.map(machine => ({
        ...machine,
        incarnation: 0,
        state: 'serving' as const,
      })),
    );
    return machines.find(({name}) => name === found?.name) as MachineLayout;
  }

  function others(): readonly MachineLayout[] {
    return system.layout.machines.filter(({name}) => name !== owner.name);
  }

  async function underLoad(
    fault: () => Promise<void>,
  ): Promise<WorkloadReport> {
    const workload = await Workload.start(
      {
        database: DATABASE,
        proxies: others().map(machine => machine.callerAddress),
        callers: 12,
        readsAWrite: 1,
        thinkMilliseconds: 1,
        timer,
      },
      'booked',
    );
    await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    await fault();
    return workload.finish();
  }

  async function stateOf(member: string) {
    const {host, port} = system.member(member).commandAddress;
    const answer = await fetch(`http://${host}:${port}/state`);
    return (await answer.json()) as {
      readonly counts: WorkCounts;
      readonly status: {readonly role: string; readonly term: number};
    };
  }

  async function expectLimitsHeld(): Promise<void> {
    for (const {name} of system.layout.members) {
      const {counts} = await stateOf(name);
      expect(counts.maximumConnections, name).to.be.at.most(CONNECTIONS);
      expect(counts.maximumRunning, name).to.be.at.most(SLOTS);
    }
  }

  function caller(machine: MachineLayout): Caller {
    return Caller.create(DATABASE, DATABASE, machine.callerAddress, timer);
  }

  /** Opens a transaction that holds the lock of a row. */
  async function lockRow(machine: MachineLayout): Promise<Caller> {
    const holder = caller(machine);
    await untilDone(timer, () =>
      holder.run('CREATE TABLE IF NOT EXISTS locked (id text PRIMARY KEY)'),
    );
    const stored = await holder.run("INSERT INTO locked (id) VALUES ('one')");
    expect(stored.kind).to.equal('done');
    await untilDone(timer, () => holder.run('BEGIN'));
    const held = await holder.run(LOCK_ROW);
    expect(held.kind).to.equal('done');
    return holder;
  }

  /** How long it takes until somebody else can have the row. */
  async function timeUntilFreed(machine: MachineLayout): Promise<number> {
    const start = timer.now();
    const other = caller(machine);
    await untilDone(timer, () => other.run(LOCK_ROW));
    await other.close();
    return timer.now() - start;
  }

  it('holds the limits when the owner is killed and joins again', async () => {
    const {name} = owner;
    const report = await underLoad(async () => {
      system.processes.signal(name, 'SIGKILL');
      await timer.sleep(KILLED_LIMIT_MILLISECONDS);
      system.startMachine(owner);
      await timer.sleep(KILLED_LIMIT_MILLISECONDS);
    });
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    expect(report.longestWriteGapMilliseconds).to.be.lessThan(
      KILLED_LIMIT_MILLISECONDS,
    );
    await expectLimitsHeld();
  });

  it('holds the limits when the owner stands still and wakes', async () => {
    const {name} = owner;
    const report = await underLoad(async () => {
      system.processes.signal(name, 'SIGSTOP');
      await timer.sleep(STOPPED_LIMIT_MILLISECONDS);
      system.processes.signal(name, 'SIGCONT');
      await timer.sleep(BEFORE_FAULT_MILLISECONDS * 2);
    });
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    expect(report.longestWriteGapMilliseconds).to.be.lessThan(
      STOPPED_LIMIT_MILLISECONDS,
    );
    await expectLimitsHeld();
  });

  it('takes new limits over without cutting a connection', async () => {
    const report = await underLoad(async () => {
      const changed = entries(CONNECTIONS / 2, 1);
      await system.operator().putCatalogue('second', 1, changed, true);
      await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    });
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    expect(report.unknown).to.equal(0);
    await expectLimitsHeld();
  });

  it('runs no more for all entries than the member can', async () => {
    const [first] = entries(CONNECTIONS);
    const both = [first, {...first, name: 'reports'}];
    await system.operator().putCatalogue('second', 1, both as never, true);
    await system.command(primary, 'slow', {statement: STATEMENT_MILLISECONDS});
    const report = await underLoad(async () => {
      const reporters = others().map(({callerAddress}) =>
        Caller.create('reports', DATABASE, callerAddress, timer),
      );
      for (let round = 0; round < 20; round++) {
        await Promise.all(
          reporters.map(reporter =>
            reporter.run('SELECT id FROM booked FOR UPDATE'),
          ),
        );
      }
      await Promise.all(reporters.map(reporter => reporter.close()));
    });
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    const {counts} = await stateOf(primary);
    expect(counts.maximumRunning).to.be.at.most(SLOTS);
  });

  it('replaces connections that went silent, without a failover', async () => {
    const before = (await stateOf(primary)).status;
    const report = await underLoad(async () => {
      await system.command(primary, 'forget');
      await timer.sleep(SILENT_LIMIT_MILLISECONDS);
    });
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    expect(report.longestWriteGapMilliseconds).to.be.lessThan(
      SILENT_LIMIT_MILLISECONDS,
    );
    const {status} = await stateOf(primary);
    expect(status).to.include({role: 'primary', term: before.term});
    await expectLimitsHeld();
  });

  it('frees the locks of a caller that vanishes', async () => {
    const [first, second] = others() as [MachineLayout, MachineLayout];
    const holder = await lockRow(first);
    await holder.close();
    expect(await timeUntilFreed(second)).to.be.lessThan(
      FREED_LIMIT_MILLISECONDS,
    );
  });

  for (const signal of ['SIGKILL', 'SIGSTOP'] as const) {
    it(`frees the locks of a proxy after ${signal}`, async () => {
      const [first, second] = others() as [MachineLayout, MachineLayout];
      await lockRow(first);
      system.processes.signal(first.name, signal);
      const freed = await timeUntilFreed(second);
      expect(freed).to.be.lessThan(FREED_LIMIT_MILLISECONDS);
    });

    it(`frees the locks of an owner after ${signal}`, async () => {
      const [first, second] = others() as [MachineLayout, MachineLayout];
      await lockRow(first);
      system.processes.signal(owner.name, signal);
      const freed = await timeUntilFreed(second);
      expect(freed).to.be.lessThan(FREED_LIMIT_MILLISECONDS);
    });
  }
});
