import {expect} from 'chai';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {ownerOf} from '@apricotlock/topology';
import {
  Caller,
  createLayout,
  MachineLayout,
  NO_VIOLATIONS,
  PROFILES,
  SystemUnderTest,
  retryUntilDone,
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

describe('member owners on real processes', () => {
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
    system = await SystemUnderTest.start(
      createLayout(profile, BASE_PORT),
      timer,
    );
    await system.putFirstCatalogue(entries());
    await system.waitForDatabases();
    const status = (await system.operatorClient().status()).unsafeCoerce();
    primary = status.databases[0]?.primary ?? '';
    owner = findOwner();
  });

  afterEach(() => system.stop());

  function entries(connections = CONNECTIONS, slots = SLOTS) {
    return system.catalogueEntries().map(entry => ({
      ...entry,
      limits: {...entry.limits, connections, slots},
    }));
  }

  /** Returns the VM that owns the member `primary`. */
  function findOwner(): MachineLayout {
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

  function otherMachines(): readonly MachineLayout[] {
    return system.layout.machines.filter(({name}) => name !== owner.name);
  }

  async function runUnderLoad(
    fault: () => Promise<void>,
  ): Promise<WorkloadReport> {
    const workload = await Workload.start(
      {
        database: DATABASE,
        proxies: otherMachines().map(machine => machine.callerAddress),
        callers: 12,
        readsPerWrite: 1,
        thinkMilliseconds: 1,
        timer,
      },
      'booked',
    );
    await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    await fault();
    return workload.finish();
  }

  async function fetchState(member: string) {
    const {host, port} = system.member(member).commandAddress;
    const answer = await fetch(`http://${host}:${port}/state`);
    return (await answer.json()) as {
      readonly counts: WorkCounts;
      readonly status: {readonly role: string; readonly term: number};
    };
  }

  async function expectLimitsRespected(): Promise<void> {
    for (const {name} of system.layout.members) {
      const {counts} = await fetchState(name);
      expect(counts.maximumConnections, name).to.be.at.most(CONNECTIONS);
      expect(counts.maximumRunning, name).to.be.at.most(SLOTS);
    }
  }

  function createCaller(machine: MachineLayout): Caller {
    return Caller.create(DATABASE, DATABASE, machine.callerAddress, timer);
  }

  /** Opens a transaction that locks a row. */
  async function lockRow(machine: MachineLayout): Promise<Caller> {
    const holder = createCaller(machine);
    await retryUntilDone(timer, () =>
      holder.run('CREATE TABLE IF NOT EXISTS locked (id text PRIMARY KEY)'),
    );
    const stored = await holder.run("INSERT INTO locked (id) VALUES ('one')");
    expect(stored.kind).to.equal('done');
    await retryUntilDone(timer, () => holder.run('BEGIN'));
    const held = await holder.run(LOCK_ROW);
    expect(held.kind).to.equal('done');
    return holder;
  }

  /** Returns the milliseconds until another caller can lock the row. */
  async function measureTimeUntilFreed(
    machine: MachineLayout,
  ): Promise<number> {
    const start = timer.now();
    const other = createCaller(machine);
    await retryUntilDone(timer, () => other.run(LOCK_ROW));
    await other.close();
    return timer.now() - start;
  }

  it('respect the limits when the owner is killed and rejoins', async () => {
    const {name} = owner;
    const report = await runUnderLoad(async () => {
      system.processes.signal(name, 'SIGKILL');
      await timer.sleep(KILLED_LIMIT_MILLISECONDS);
      system.startMachine(owner);
      await timer.sleep(KILLED_LIMIT_MILLISECONDS);
    });
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    expect(report.longestWriteGapMilliseconds).to.be.lessThan(
      KILLED_LIMIT_MILLISECONDS,
    );
    await expectLimitsRespected();
  });

  it('respect the limits when the owner is stopped and continues', async () => {
    const {name} = owner;
    const report = await runUnderLoad(async () => {
      system.processes.signal(name, 'SIGSTOP');
      await timer.sleep(STOPPED_LIMIT_MILLISECONDS);
      system.processes.signal(name, 'SIGCONT');
      await timer.sleep(BEFORE_FAULT_MILLISECONDS * 2);
    });
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    expect(report.longestWriteGapMilliseconds).to.be.lessThan(
      STOPPED_LIMIT_MILLISECONDS,
    );
    await expectLimitsRespected();
  });

  it('apply new limits without interrupting a connection', async () => {
    const report = await runUnderLoad(async () => {
      const changed = entries(CONNECTIONS / 2, 1);
      await system.operatorClient().putCatalogue('second', 1, changed, true);
      await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    });
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    expect(report.unknown).to.equal(0);
    await expectLimitsRespected();
  });

  it('limit the running statements of all entries together', async () => {
    const [first] = entries(CONNECTIONS);
    const both = [first, {...first, name: 'reports'}];
    await system
      .operatorClient()
      .putCatalogue('second', 1, both as never, true);
    await system.sendCommand(primary, 'slow', {
      statement: STATEMENT_MILLISECONDS,
    });
    const report = await runUnderLoad(async () => {
      const reporters = otherMachines().map(({callerAddress}) =>
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
    const {counts} = await fetchState(primary);
    expect(counts.maximumRunning).to.be.at.most(SLOTS);
  });

  it('replace connections that fall silent without a failover', async () => {
    const before = (await fetchState(primary)).status;
    const report = await runUnderLoad(async () => {
      await system.sendCommand(primary, 'forget');
      await timer.sleep(SILENT_LIMIT_MILLISECONDS);
    });
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    expect(report.longestWriteGapMilliseconds).to.be.lessThan(
      SILENT_LIMIT_MILLISECONDS,
    );
    const {status} = await fetchState(primary);
    expect(status).to.include({role: 'primary', term: before.term});
    await expectLimitsRespected();
  });

  it('release the locks of a caller that disconnects', async () => {
    const [first, second] = otherMachines() as [MachineLayout, MachineLayout];
    const holder = await lockRow(first);
    await holder.close();
    expect(await measureTimeUntilFreed(second)).to.be.lessThan(
      FREED_LIMIT_MILLISECONDS,
    );
  });

  for (const signal of ['SIGKILL', 'SIGSTOP'] as const) {
    it(`release the locks of a proxy after ${signal}`, async () => {
      const [first, second] = otherMachines() as [MachineLayout, MachineLayout];
      await lockRow(first);
      system.processes.signal(first.name, signal);
      const freed = await measureTimeUntilFreed(second);
      expect(freed).to.be.lessThan(FREED_LIMIT_MILLISECONDS);
    });

    it(`release the locks of an owner after ${signal}`, async () => {
      const [first, second] = otherMachines() as [MachineLayout, MachineLayout];
      await lockRow(first);
      system.processes.signal(owner.name, signal);
      const freed = await measureTimeUntilFreed(second);
      expect(freed).to.be.lessThan(FREED_LIMIT_MILLISECONDS);
    });
  }
});
