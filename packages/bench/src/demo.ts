import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {execFile} from 'node:child_process';
import {promisify} from 'node:util';
import {TimerService} from '@apricotlock/timer';
import {formatAddress} from '@apricotlock/topology';
import {Caller} from './caller.js';
import {CatalogueWatch} from './catalogue_watch.js';
import {describeHeldSystem, HeldSystem} from './held_system.js';
import {layOut, MemberLayout, Profile} from './layout.js';
import {readCounts} from './read_counts.js';
import {SystemUnderTest} from './system_under_test.js';
import {Violations} from './violations.js';
import {Workload, WorkloadReport} from './workload.js';

const WARM_UP_MILLISECONDS = 2_000;
const AFTER_FAULT_MILLISECONDS = 3_000;
const DRAIN_LIMIT_MILLISECONDS = 3_000;
const WATCH_DRAINED_MILLISECONDS = 1_000;
const CALLERS_A_DATABASE = 6;
const READS_A_WRITE = 9;
const THINK_MILLISECONDS = 2;
const COST_SAMPLES = 300;
const MICROSECONDS_A_MILLISECOND = 1_000;

const execute = promisify(execFile);

/** What a demonstration prints as its last line. */
export interface DemoReport {
  readonly statements: number;
  readonly reads: number;
  readonly replicaReadShare: number;
  readonly failoverGapMilliseconds: number;
  readonly configurationInForceMilliseconds: number;
  readonly addedLatencyMicroseconds: number;
  readonly violations: Violations;
}

/** The whole system at work, with a lost primary and an operator's changes. */
export class Demo {
  private reached = 'the catalogue to be accepted';

  private constructor(
    private readonly system: SystemUnderTest,
    private readonly timer: TimerService,
  ) {}

  /** Starts the system with an accepted catalogue. */
  static async start(
    profile: Profile,
    basePort: number,
    timer: TimerService,
  ): Promise<Demo> {
    const layout = layOut(profile, basePort);
    const system = await SystemUnderTest.start(layout, timer);
    const demo = new Demo(system, timer);
    await demo.putCatalogue(0, profile.connections);
    await system.untilWhole();
    return demo;
  }

  /** What the demonstration is at, for whoever waits for it. */
  get stage(): string {
    return this.reached;
  }

  /** Leaves the system up until `released` settles; gives where it is. */
  async hold(
    show: (system: HeldSystem) => void,
    released: Promise<void>,
  ): Promise<void> {
    try {
      show(describeHeldSystem(this.system));
      await released;
    } finally {
      await this.system.stop();
    }
  }

  /** Runs the demonstration and ends the system. */
  async run(): Promise<DemoReport> {
    try {
      return await this.demonstrate();
    } finally {
      await this.system.stop();
    }
  }

  private async demonstrate(): Promise<DemoReport> {
    const {profile} = this.system.layout;
    this.reached = 'the comparison with a direct connection';
    const addedLatencyMicroseconds = await this.addedLatency();
    const catalogue = CatalogueWatch.start(this.system, this.timer);
    const workloads = await Promise.all(
      profile.databases.map(database => this.startWorkload(database)),
    );
    await this.timer.sleep(WARM_UP_MILLISECONDS);
    this.reached = 'a changed limit to be in force';
    const configurationInForceMilliseconds = await this.changeLimit();
    this.reached = 'a replica to be drained';
    const workAfterDrain = await this.drainReplica();
    this.reached = 'another primary';
    const failoverGapMilliseconds = await this.killPrimary(workloads);
    const replicaReadShare = await this.replicaReadShare();
    this.reached = 'an entry VM to shut down';
    const requestsCutByShutdown = await this.shutDownMachine();
    const catalogueReverted = await catalogue.finish();
    this.reached = 'the callers to finish';
    const reports = await Promise.all(workloads.map(load => load.finish()));
    const report: DemoReport = {
      statements: sum(reports.map(({statements}) => statements)),
      reads: sum(reports.map(({reads}) => reads)),
      replicaReadShare,
      failoverGapMilliseconds,
      configurationInForceMilliseconds,
      addedLatencyMicroseconds,
      violations: {
        ...addUp(reports),
        workAfterDrain,
        requestsCutByShutdown,
        catalogueReverted,
      },
    };
    printTable(report);
    return report;
  }

  private startWorkload(database: string): Promise<Workload> {
    const {machines} = this.system.layout;
    return Workload.start(
      {
        database,
        proxies: machines.map(machine => machine.callerAddress),
        callers: CALLERS_A_DATABASE,
        readsAWrite: READS_A_WRITE,
        thinkMilliseconds: THINK_MILLISECONDS,
        keyed: true,
        transactions: true,
        timer: this.timer,
      },
      'holds',
    );
  }

  /** Median through a proxy less median on a direct connection. */
  private async addedLatency(): Promise<number> {
    const [database] = this.system.layout.profile.databases;
    const name = database as string;
    const {timer} = this;
    const direct = this.system.member(`${name}-b`);
    const proxied = this.system.layout.machines.find(
      machine => machine.dataCentre === direct.dataCentre,
    );
    const address =
      proxied?.callerAddress ?? this.system.machine(0).callerAddress;
    const directMedian = await median(
      Caller.create(name, name, direct.address, timer),
    );
    const proxiedMedian = await median(
      Caller.create(name, name, address, timer),
    );
    const added = proxiedMedian - directMedian;
    return Math.round(added * MICROSECONDS_A_MILLISECOND);
  }

  private async changeLimit(): Promise<number> {
    const start = this.timer.now();
    await this.putCatalogue(1, this.system.layout.profile.connections - 1);
    return Math.round(this.timer.now() - start);
  }

  /** Puts the catalogue through the operators' command line. */
  private async putCatalogue(
    version: number,
    connections: number,
  ): Promise<void> {
    const entries = this.system.catalogueEntries().map(entry => ({
      ...entry,
      limits: {...entry.limits, connections},
    }));
    const path = join(this.system.folder, `catalogue-${version}.json`);
    writeFileSync(path, JSON.stringify({version, entries}));
    await this.control('catalogue', 'put', path, '--wait');
  }

  /** Drains a replica; gives the statements that it still got afterwards. */
  private async drainReplica(): Promise<number> {
    const [, database] = this.system.layout.profile.databases;
    const member = this.system.member(`${database}-c`);
    await this.control('server', 'drain', member.name, '--wait');
    await this.timer.sleep(DRAIN_LIMIT_MILLISECONDS);
    const before = await statementsOf(member);
    await this.timer.sleep(WATCH_DRAINED_MILLISECONDS);
    return (await statementsOf(member)) - before;
  }

  /** Kills a primary; gives how long no write was acknowledged. */
  private async killPrimary(workloads: readonly Workload[]): Promise<number> {
    const [database] = this.system.layout.profile.databases;
    const [workload] = workloads;
    workload?.forgetGaps();
    await this.system.command(`${database}-a`, 'kill');
    await this.timer.sleep(AFTER_FAULT_MILLISECONDS);
    return Math.round(workload?.longestWriteGapMilliseconds ?? 0);
  }

  /** Ends an entry VM's process under load; 1 if it had to cut a request. */
  private async shutDownMachine(): Promise<number> {
    const [machine] = this.system.layout.machines.slice(-1);
    const name = machine?.name ?? '';
    this.system.processes.signal(name, 'SIGTERM');
    const exitCode = await this.system.processes.ended(name);
    return exitCode === 0 ? 0 : 1;
  }

  private async replicaReadShare(): Promise<number> {
    const {byReplica, byPrimary} = await readCounts(
      this.system.layout.machines.map(machine =>
        formatAddress(machine.operatorAddress),
      ),
      this.system.operatorToken,
    );
    return byReplica / Math.max(1, byReplica + byPrimary);
  }

  private async control(...words: readonly string[]): Promise<string> {
    const {operatorAddress} = this.system.machine(2);
    const {stdout} = await execute(process.execPath, [
      this.system.controlScript,
      ...words,
      '--address',
      formatAddress(operatorAddress),
      '--token-file',
      this.system.tokenFile,
    ]);
    return stdout;
  }
}

async function median(caller: Caller): Promise<number> {
  const times: number[] = [];
  for (let sample = 0; sample < COST_SAMPLES; sample++) {
    times.push(await caller.timed('SELECT 1'));
  }
  await caller.close();
  times.sort((left, right) => left - right);
  return times[COST_SAMPLES / 2] as number;
}

async function statementsOf(member: MemberLayout): Promise<number> {
  const address = formatAddress(member.commandAddress);
  const answer = await fetch(`http://${address}/state`);
  const {counts} = (await answer.json()) as {
    readonly counts: {readonly statements: number};
  };
  return counts.statements;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function addUp(reports: readonly WorkloadReport[]): Violations {
  const [first, ...others] = reports.map(({violations}) => violations);
  return others.reduce<Violations>((total, violations) => {
    const pairs = Object.entries(total).map(([name, count]) => [
      name,
      (count as number) + violations[name as keyof Violations],
    ]);
    return Object.fromEntries(pairs) as unknown as Violations;
  }, first as Violations);
}

function printTable(report: DemoReport): void {
  const {violations, ...figures} = report;
  for (const [name, value] of Object.entries({...figures, ...violations})) {
    process.stdout.write(`${name.padEnd(34)} ${value}\n`);
  }
}
