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

const BASE_PORT = testPort(1400);
const FAILOVER_LIMIT_MILLISECONDS = 6_000;
const BEFORE_FAULT_MILLISECONDS = 300;
const WATCH_MILLISECONDS = 1_500;
const TEST_LIMIT_MILLISECONDS = 20_000;

describe('failure handling on real processes', function () {
  this.timeout(TEST_LIMIT_MILLISECONDS);
  const timer = SystemTimerService.create();
  const database = 'booking-ledger-1';
  const profile = {...PROFILES.bonanno, databases: [database]};
  let system: SystemUnderTest;

  before(async () => {
    const layout = createLayout(profile, BASE_PORT);
    system = await SystemUnderTest.startWithFaults(layout, timer);
    const entries = system.catalogueEntries();
    await system.putFirstCatalogue(entries);
    await system.waitForDatabases();
  });

  after(() => system.stop());

  /** Restores the links and waits until all members follow one primary. */
  afterEach(async () => {
    system.faultRelays.plan.heal();
    await system.waitUntil('all members to follow one primary', async () => {
      const states = await Promise.all(members().map(fetchState));
      const terms = new Set(states.map(state => state?.status.term));
      const primaries = states.filter(
        state => state?.status.role === 'primary',
      );
      return terms.size === 1 && primaries.length === 1;
    });
  });

  function members(): readonly string[] {
    return system.layout.members.map(({name}) => name);
  }

  function machines(): readonly string[] {
    return system.layout.machines.map(({name}) => name);
  }

  async function fetchState(member: string) {
    const {host, port} = system.member(member).commandAddress;
    const answer = await fetch(`http://${host}:${port}/state`).catch(
      () => undefined,
    );
    return (await answer?.json()) as
      | {readonly status: {readonly role: string; readonly term: number}}
      | undefined;
  }

  async function fetchGroup() {
    const status = await system.operatorClient().status();
    const [group] = status.unsafeCoerce().databases;
    return group as {readonly primary: string | null; readonly term: number};
  }

  async function waitForPrimary(): Promise<string> {
    let name: string | null = null;
    await system.waitUntil('a primary', async () => {
      name = (await fetchGroup()).primary;
      return name !== null;
    });
    return name as unknown as string;
  }

  async function waitUntilReplaced(oldPrimary: string): Promise<void> {
    const replaced = async () => {
      const {primary: now} = await fetchGroup();
      return now !== null && now !== oldPrimary;
    };
    await system.waitUntil(
      'a new primary',
      replaced,
      FAILOVER_LIMIT_MILLISECONDS,
    );
  }

  function otherMembers(name: string): readonly string[] {
    return members().filter(member => member !== name);
  }

  function restart(member: string): void {
    system.startMember({...system.member(member), primary: false});
  }

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
        transactions: true,
        timer,
      },
      table,
    );
    await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    workload.resetLongestWriteGap();
    await fault();
    await timer.sleep(WATCH_MILLISECONDS);
    const report = await workload.finish();
    expect(report.writes).to.be.greaterThan(0);
    expect(report.violations).to.deep.equal(NO_VIOLATIONS);
    expect(report.longestWriteGapMilliseconds).to.be.lessThan(
      FAILOVER_LIMIT_MILLISECONDS,
    );
    return report;
  }

  describe('when a primary fails', () => {
    it('replaces a killed primary, which rejoins after a restart', async () => {
      const oldPrimary = await waitForPrimary();
      await runUnderLoad('killed', async () => {
        system.processes.signal(oldPrimary, 'SIGKILL');
        await system.processes.waitForExit(oldPrimary);
        await timer.sleep(WATCH_MILLISECONDS);
        restart(oldPrimary);
      });
      expect(await waitForPrimary()).not.to.equal(oldPrimary);
    });

    it('keeps one primary when the primary restarts quickly', async () => {
      const oldPrimary = await waitForPrimary();
      await runUnderLoad('restarted', async () => {
        system.processes.signal(oldPrimary, 'SIGKILL');
        await system.processes.waitForExit(oldPrimary);
        restart(oldPrimary);
      });
    });

    it('replaces a frozen primary, which then acknowledges nothing', async () => {
      const oldPrimary = await waitForPrimary();
      await runUnderLoad('frozen', async () => {
        system.processes.signal(oldPrimary, 'SIGSTOP');
        await waitUntilReplaced(oldPrimary);
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        system.processes.signal(oldPrimary, 'SIGCONT');
      });
    });

    it('loses no write when the new primary is killed immediately', async () => {
      const first = await waitForPrimary();
      await runUnderLoad('twice', async () => {
        system.processes.signal(first, 'SIGKILL');
        await waitUntilReplaced(first);
        const second = await waitForPrimary();
        system.processes.signal(second, 'SIGKILL');
        await system.processes.waitForExit(second);
        restart(first);
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        restart(second);
      });
    });
  });

  describe('when a primary is isolated', () => {
    it('replaces a primary isolated in both directions', async () => {
      const oldPrimary = await waitForPrimary();
      const rest = [...machines(), ...otherMembers(oldPrimary)];
      await runUnderLoad('cut', async () => {
        system.faultRelays.plan.partition([oldPrimary], rest);
        await waitUntilReplaced(oldPrimary);
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        system.faultRelays.plan.heal();
      });
    });

    it('replaces a primary that receives but cannot send', async () => {
      const oldPrimary = await waitForPrimary();
      const rest = [...machines(), ...otherMembers(oldPrimary)];
      await runUnderLoad('unheard', async () => {
        system.faultRelays.plan.partitionOneWay([oldPrimary], rest);
        await waitUntilReplaced(oldPrimary);
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        system.faultRelays.plan.heal();
      });
    });

    it('acknowledges nothing on a primary that one entry VM reaches', async () => {
      const oldPrimary = await waitForPrimary();
      const [near, ...far] = machines();
      await runUnderLoad('side', async () => {
        system.faultRelays.plan.partition(
          [oldPrimary],
          [...far, ...otherMembers(oldPrimary)],
        );
        expect(near).not.to.equal(undefined);
        await waitUntilReplaced(oldPrimary);
      });
    });
  });

  describe('while the primary works', () => {
    async function expectNoFailover(
      table: string,
      fault: () => Promise<void>,
    ): Promise<void> {
      const before = await fetchGroup();
      await runUnderLoad(table, fault);
      expect(await fetchGroup()).to.deep.include({
        primary: before.primary,
        term: before.term,
      });
    }

    it('keeps the primary when its open connections fall silent', async () => {
      const name = await waitForPrimary();
      await expectNoFailover('silent', async () => {
        system.faultRelays.silenceConnectionsTo(name);
      });
    });

    it('keeps the primary when a replica is slow and far behind', async () => {
      const [slow] = otherMembers(await waitForPrimary());
      await expectNoFailover('slow', async () => {
        const delays = {receive: 400, apply: 400};
        await system.sendCommand(slow as string, 'slow', delays);
      });
      await system.sendCommand(slow as string, 'slow', {receive: 0, apply: 0});
    });

    it('keeps the primary when its statements are slow', async () => {
      const name = await waitForPrimary();
      await expectNoFailover('loaded', async () => {
        await system.sendCommand(name, 'slow', {statement: 100});
      });
      await system.sendCommand(name, 'slow', {statement: 0});
    });

    it('keeps the primary when a replica is killed', async () => {
      const [lost] = otherMembers(await waitForPrimary());
      await expectNoFailover('replica', async () => {
        system.processes.signal(lost as string, 'SIGKILL');
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        restart(lost as string);
      });
    });
  });

  describe('when an entry VM fails', () => {
    function restartMachine(name: string): void {
      const machine = system.layout.machines.find(known => known.name === name);
      if (machine !== undefined) system.startMachine(machine);
    }

    it('violates no guarantee when a proxy is killed under load', async () => {
      const last = machines().at(-1) as string;
      await runUnderLoad('proxy', async () => {
        system.processes.signal(last, 'SIGKILL');
        await system.processes.waitForExit(last);
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        restartMachine(last);
      });
    });

    it('completes a failover when the control leader is killed too', async () => {
      const oldPrimary = await waitForPrimary();
      const status = await system.operatorClient(system.machine(5)).status();
      const {leader} = status.unsafeCoerce();
      await runUnderLoad('leader', async () => {
        system.processes.signal(oldPrimary, 'SIGKILL');
        system.processes.signal(leader as string, 'SIGKILL');
        await system.processes.waitForExit(leader as string);
        await timer.sleep(WATCH_MILLISECONDS);
        restart(oldPrimary);
        restartMachine(leader as string);
      });
      expect(await waitForPrimary()).not.to.equal(oldPrimary);
    });
  });
});
