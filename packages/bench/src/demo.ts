import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {execFile} from 'node:child_process';
import {promisify} from 'node:util';
import {TimerService} from '@apricotlock/timer';
import {formatAddress} from '@apricotlock/topology';
import {Caller} from './caller.js';
import {CatalogueVersionMonitor} from './catalogue_version_monitor.js';
import {
  describeRunningSystem,
  RunningSystemDescription,
} from './running_system.js';
import {createLayout, MemberLayout, Profile} from './layout.js';
import {fetchReadCounts} from './read_counts.js';
import {SystemUnderTest} from './system_under_test.js';
import {Violations} from './violations.js';
import {Workload, WorkloadReport} from './workload.js';

const WARM_UP_MILLISECONDS = 2_000;
const AFTER_FAULT_MILLISECONDS = 3_000;
const DRAIN_LIMIT_MILLISECONDS = 3_000;
const WATCH_DRAINED_MILLISECONDS = 1_000;
const CALLERS_PER_DATABASE = 6;
const READS_PER_WRITE = 9;
const THINK_MILLISECONDS = 2;
const LATENCY_SAMPLES = 300;
const MICROSECONDS_PER_MILLISECOND = 1_000;

const execute = promisify(execFile);

/** The report that the demo prints as its last line, as JSON. */
export interface DemoReport {
  readonly statements: number;
  readonly reads: number;
  readonly replicaReadShare: number;
  readonly failoverGapMilliseconds: number;
  readonly configurationInForceMilliseconds: number;
  readonly addedLatencyMicroseconds: number;
  readonly violations: Violations;
}

/**
 * Runs the whole system under load while an operator changes a limit and
 * drains a replica, a primary is killed and an entry VM shuts down.
 */
export class Demo {
  private currentStage = 'the catalogue to be accepted';

  private constructor(
    private readonly system: SystemUnderTest,
    private readonly timer: TimerService,
  ) {}

  /** Starts the system and puts its first catalogue. */
  static async start(
    profile: Profile,
    basePort: number,
    timer: TimerService,
  ): Promise<Demo> {
    const layout = createLayout(profile, basePort);
    const system = await SystemUnderTest.start(layout, timer);
    const demo = new Demo(system, timer);
    await demo.putCatalogue(0, profile.connections);
    await system.waitForDatabases();
    return demo;
  }

  /** The step that the demo is waiting for, for error messages. */
  get stage(): string {
    return this.currentStage;
  }

  /**
   * Keeps the system running until `released` settles, then stops it. Passes a
   * description of the running system to `show`.
   */
  async hold(
    show: (system: RunningSystemDescription) => void,
    released: Promise<void>,
  ): Promise<void> {
    try {
      show(describeRunningSystem(this.system));
      await released;
    } finally {
      await this.system.stop();
    }
  }

  /** Runs the demo, stops the system and returns the report. */
  async run(): Promise<DemoReport> {
    try {
      return await this.demonstrate();
    } finally {
      await this.system.stop();
    }
  }

  private async demonstrate(): Promise<DemoReport> {
    const {profile} = this.system.layout;
    this.currentStage = 'the comparison with a direct connection';
    const addedLatencyMicroseconds = await this.measureAddedLatency();
    const catalogue = CatalogueVersionMonitor.start(this.system, this.timer);
    const workloads = await Promise.all(
      profile.databases.map(database => this.startWorkload(database)),
    );
    await this.timer.sleep(WARM_UP_MILLISECONDS);
    this.currentStage = 'a changed limit to be in force';
    const configurationInForceMilliseconds = await this.changeLimit();
    this.currentStage = 'a replica to be drained';
    const workAfterDrain = await this.drainReplica();
    this.currentStage = 'a new primary';
    const failoverGapMilliseconds = await this.killPrimary(workloads);
    const replicaReadShare = await this.measureReplicaReadShare();
    this.currentStage = 'an entry VM to shut down';
    const requestsCutByShutdown = await this.shutDownMachine();
    const catalogueReverted = await catalogue.finish();
    this.currentStage = 'the callers to finish';
    const reports = await Promise.all(workloads.map(load => load.finish()));
    const report: DemoReport = {
      statements: sum(reports.map(({statements}) => statements)),
      reads: sum(reports.map(({reads}) => reads)),
      replicaReadShare,
      failoverGapMilliseconds,
      configurationInForceMilliseconds,
      addedLatencyMicroseconds,
      violations: {
        ...sumViolations(reports),
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
        callers: CALLERS_PER_DATABASE,
        readsPerWrite: READS_PER_WRITE,
        thinkMilliseconds: THINK_MILLISECONDS,
        keyed: true,
        transactions: true,
        timer: this.timer,
      },
      'holds',
    );
  }

  /**
   * Returns the latency that a proxy adds, in microseconds: the median through
   * a proxy less the median on a direct connection.
   */
  private async measureAddedLatency(): Promise<number> {
    const [database] = this.system.layout.profile.databases;
    const name = database as string;
    const {timer} = this;
    const direct = this.system.member(`${name}-b`);
    const proxied = this.system.layout.machines.find(
      machine => machine.dataCentre === direct.dataCentre,
    );
    const address =
      proxied?.callerAddress ?? this.system.machine(0).callerAddress;
    const directMedian = await measureMedian(
      Caller.create(name, name, direct.address, timer),
    );
    const proxiedMedian = await measureMedian(
      Caller.create(name, name, address, timer),
    );
    const added = proxiedMedian - directMedian;
    return Math.round(added * MICROSECONDS_PER_MILLISECOND);
  }

  private async changeLimit(): Promise<number> {
    const start = this.timer.now();
    await this.putCatalogue(1, this.system.layout.profile.connections - 1);
    return Math.round(this.timer.now() - start);
  }

  /** Puts the catalogue with the operators' command-line tool. */
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
    await this.runControlCommand('catalogue', 'put', path, '--wait');
  }

  /** Drains a replica and returns how many statements it ran after that. */
  private async drainReplica(): Promise<number> {
    const [, database] = this.system.layout.profile.databases;
    const member = this.system.member(`${database}-c`);
    await this.runControlCommand('server', 'drain', member.name, '--wait');
    await this.timer.sleep(DRAIN_LIMIT_MILLISECONDS);
    const before = await fetchStatementCount(member);
    await this.timer.sleep(WATCH_DRAINED_MILLISECONDS);
    return (await fetchStatementCount(member)) - before;
  }

  /**
   * Kills a primary and returns the longest period without an acknowledged
   * write, in milliseconds.
   */
  private async killPrimary(workloads: readonly Workload[]): Promise<number> {
    const [database] = this.system.layout.profile.databases;
    const [workload] = workloads;
    workload?.resetLongestWriteGap();
    await this.system.sendCommand(`${database}-a`, 'kill');
    await this.timer.sleep(AFTER_FAULT_MILLISECONDS);
    return Math.round(workload?.longestWriteGapMilliseconds ?? 0);
  }

  /**
   * Shuts an entry VM down under load. Returns 1 if its exit code says that it
   * interrupted a request, and 0 otherwise.
   */
  private async shutDownMachine(): Promise<number> {
    const [machine] = this.system.layout.machines.slice(-1);
    const name = machine?.name ?? '';
    this.system.processes.signal(name, 'SIGTERM');
    const exitCode = await this.system.processes.waitForExit(name);
    return exitCode === 0 ? 0 : 1;
  }

  private async measureReplicaReadShare(): Promise<number> {
    const {byReplica, byPrimary} = await fetchReadCounts(
      this.system.layout.machines.map(machine =>
        formatAddress(machine.operatorAddress),
      ),
      this.system.operatorToken,
    );
    return byReplica / Math.max(1, byReplica + byPrimary);
  }

  private async runControlCommand(
    ...words: readonly string[]
  ): Promise<string> {
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

async function measureMedian(caller: Caller): Promise<number> {
  const times: number[] = [];
  for (let sample = 0; sample < LATENCY_SAMPLES; sample++) {
    times.push(await caller.measureMilliseconds('SELECT 1'));
  }
  await caller.close();
  times.sort((left, right) => left - right);
  return times[LATENCY_SAMPLES / 2] as number;
}

async function fetchStatementCount(member: MemberLayout): Promise<number> {
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

function sumViolations(reports: readonly WorkloadReport[]): Violations {
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
