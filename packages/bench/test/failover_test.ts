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

const BASE_PORT = testPort(1400);
const FAILOVER_LIMIT_MILLISECONDS = 6_000;
const BEFORE_FAULT_MILLISECONDS = 300;
const WATCH_MILLISECONDS = 1_500;
const TEST_LIMIT_MILLISECONDS = 20_000;

describe('failures, on real processes behind faulty links', function () {
  this.timeout(TEST_LIMIT_MILLISECONDS);
  const timer = SystemTimerService.create();
  const database = 'booking-ledger-1';
  const profile = {...PROFILES.bonanno, databases: [database]};
  let system: SystemUnderTest;

  before(async () => {
    const layout = layOut(profile, BASE_PORT);
    system = await SystemUnderTest.startWithFaults(layout, timer);
    const entries = system.catalogueEntries();
    await system.acceptCatalogue(entries);
    await system.untilWhole();
  });

  after(() => system.stop());

  /** Every member follows one primary, which takes writes. */
  afterEach(async () => {
    system.faults.plan.heal();
    await system.until('the group', async () => {
      const states = await Promise.all(members().map(stateOf));
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

  async function stateOf(member: string) {
    const {host, port} = system.member(member).commandAddress;
    const answer = await fetch(`http://${host}:${port}/state`).catch(
      () => undefined,
    );
    return (await answer?.json()) as
      | {readonly status: {readonly role: string; readonly term: number}}
      | undefined;
  }

  async function group() {
    const status = await system.operator().status();
    const [known] = status.unsafeCoerce().databases;
    return known as {readonly primary: string | null; readonly term: number};
  }

  async function primary(): Promise<string> {
    let name: string | null = null;
    await system.until('a primary', async () => {
      name = (await group()).primary;
      return name !== null;
    });
    return name as unknown as string;
  }

  async function untilReplaced(old: string): Promise<void> {
    const replaced = async () => {
      const {primary: now} = await group();
      return now !== null && now !== old;
    };
    await system.until('another', replaced, FAILOVER_LIMIT_MILLISECONDS);
  }

  function others(name: string): readonly string[] {
    return members().filter(member => member !== name);
  }

  function restart(member: string): void {
    system.startMember({...system.member(member), primary: false});
  }

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
        transactions: true,
        timer,
      },
      table,
    );
    await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    workload.forgetGaps();
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

  describe('that end a primary', () => {
    it('replaces one that is killed, and takes it back', async () => {
      const old = await primary();
      await underLoad('killed', async () => {
        system.processes.signal(old, 'SIGKILL');
        await system.processes.ended(old);
        await timer.sleep(WATCH_MILLISECONDS);
        restart(old);
      });
      expect(await primary()).not.to.equal(old);
    });

    it('keeps one primary through a quick restart', async () => {
      const old = await primary();
      await underLoad('restarted', async () => {
        system.processes.signal(old, 'SIGKILL');
        await system.processes.ended(old);
        restart(old);
      });
    });

    it('replaces one that freezes, which then acknowledges nothing', async () => {
      const old = await primary();
      await underLoad('frozen', async () => {
        system.processes.signal(old, 'SIGSTOP');
        await untilReplaced(old);
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        system.processes.signal(old, 'SIGCONT');
      });
    });

    it('survives the loss of the new primary at once', async () => {
      const first = await primary();
      await underLoad('twice', async () => {
        system.processes.signal(first, 'SIGKILL');
        await untilReplaced(first);
        const second = await primary();
        system.processes.signal(second, 'SIGKILL');
        await system.processes.ended(second);
        restart(first);
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        restart(second);
      });
    });
  });

  describe('that cut a primary off', () => {
    it('replaces one that is cut off both ways', async () => {
      const old = await primary();
      const rest = [...machines(), ...others(old)];
      await underLoad('cut', async () => {
        system.faults.plan.partition([old], rest);
        await untilReplaced(old);
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        system.faults.plan.heal();
      });
    });

    it('replaces one that hears but is not heard', async () => {
      const old = await primary();
      const rest = [...machines(), ...others(old)];
      await underLoad('unheard', async () => {
        system.faults.plan.partitionOneWay([old], rest);
        await untilReplaced(old);
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        system.faults.plan.heal();
      });
    });

    it('acknowledges nothing on it, with an entry VM on its side', async () => {
      const old = await primary();
      const [near, ...far] = machines();
      await underLoad('side', async () => {
        system.faults.plan.partition([old], [...far, ...others(old)]);
        expect(near).not.to.equal(undefined);
        await untilReplaced(old);
      });
    });
  });

  describe('that are no loss of a primary', () => {
    async function withoutFailover(
      table: string,
      fault: () => Promise<void>,
    ): Promise<void> {
      const before = await group();
      await underLoad(table, fault);
      expect(await group()).to.deep.include({
        primary: before.primary,
        term: before.term,
      });
    }

    it('keeps a primary whose old connections went silent', async () => {
      const name = await primary();
      await withoutFailover('silent', async () => {
        system.faults.forgetConnectionsTo(name);
      });
    });

    it('keeps a primary while a replica is slow and far behind', async () => {
      const [slow] = others(await primary());
      await withoutFailover('slow', async () => {
        const delays = {receive: 400, apply: 400};
        await system.command(slow as string, 'slow', delays);
      });
      await system.command(slow as string, 'slow', {receive: 0, apply: 0});
    });

    it('keeps a primary whose statements are slow', async () => {
      const name = await primary();
      await withoutFailover('loaded', async () => {
        await system.command(name, 'slow', {statement: 100});
      });
      await system.command(name, 'slow', {statement: 0});
    });

    it('serves on while a replica is lost', async () => {
      const [lost] = others(await primary());
      await withoutFailover('replica', async () => {
        system.processes.signal(lost as string, 'SIGKILL');
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        restart(lost as string);
      });
    });
  });

  describe('of entry VMs', () => {
    function restartMachine(name: string): void {
      const machine = system.layout.machines.find(known => known.name === name);
      if (machine !== undefined) system.startMachine(machine);
    }

    it('keeps every promise when a proxy dies under load', async () => {
      const last = machines().at(-1) as string;
      await underLoad('proxy', async () => {
        system.processes.signal(last, 'SIGKILL');
        await system.processes.ended(last);
        await timer.sleep(BEFORE_FAULT_MILLISECONDS);
        restartMachine(last);
      });
    });

    it('fails over though the control leader dies meanwhile', async () => {
      const old = await primary();
      const status = await system.operator(system.machine(5)).status();
      const {leader} = status.unsafeCoerce();
      await underLoad('leader', async () => {
        system.processes.signal(old, 'SIGKILL');
        system.processes.signal(leader as string, 'SIGKILL');
        await system.processes.ended(leader as string);
        await timer.sleep(WATCH_MILLISECONDS);
        restart(old);
        restartMachine(leader as string);
      });
      expect(await primary()).not.to.equal(old);
    });
  });
});
