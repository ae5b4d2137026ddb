import {readFileSync} from 'node:fs';
import {build, Histogram} from 'hdr-histogram-js';
import pg from 'pg';
import {TimerService} from '@apricotlock/timer';
import {Address, ownerOf} from '@apricotlock/topology';
import {Layout, MachineLayout} from './layout.js';
import {SystemUnderTest} from './system_under_test.js';

const WARM_UP_ROUNDS = 1_000;
const MEASURED_ROUNDS = 1_000;
const LOAD_CALLERS = 12;
const LOAD_MILLISECONDS = 2_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
/** Unit in which Linux reports processor time in `/proc`. */
const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Latency of a statement on one route to a database, in microseconds. */
export interface LatencyFigures {
  readonly way: string;
  readonly statement: string;
  readonly median: number;
  readonly p99: number;
  /** Median less the median on the direct connection. */
  readonly added: number;
}

/** Throughput of a statement through one entry VM. */
export interface ThroughputFigures {
  readonly way: string;
  readonly statement: string;
  readonly statementsASecond: number;
  readonly statementsACoreSecond: number;
}

/** Results of one run of {@link CostMeasurement}. */
export interface CostReport {
  readonly latency: readonly LatencyFigures[];
  readonly throughput: readonly ThroughputFigures[];
}

interface Route {
  readonly name: string;
  readonly address: Address;
  /** Entry VM of the route, or `undefined` for a direct connection. */
  readonly machine: string | undefined;
}

interface Statement {
  readonly name: string;
  readonly run: (client: pg.Client) => Promise<unknown>;
}

const STATEMENTS: readonly Statement[] = [
  {
    name: 'simple read',
    run: client => client.query('SELECT id, note FROM cost WHERE id = 1'),
  },
  {
    name: 'extended read',
    run: client =>
      client.query('SELECT id, note FROM cost WHERE id = $1', ['1']),
  },
  {
    name: 'named read',
    run: client =>
      client.query({
        name: 'by-id',
        text: 'SELECT id, note FROM cost WHERE id = $1',
        values: ['1'],
      }),
  },
];

const WRITE: Statement = {
  name: 'simple write',
  run: client => client.query("UPDATE cost SET note = 'changed' WHERE id = 1"),
};

/** Measures the latency that the proxy adds, and its throughput. */
export class CostMeasurement {
  private constructor(
    private readonly system: SystemUnderTest,
    private readonly database: string,
    private readonly timer: TimerService,
  ) {}

  /** Creates a measurement of a system that serves `database`. */
  static of(
    system: SystemUnderTest,
    database: string,
    timer: TimerService,
  ): CostMeasurement {
    return new CostMeasurement(system, database, timer);
  }

  /** Measures latency first, then throughput per core. */
  async run(): Promise<CostReport> {
    const primary = this.system.member(`${this.database}-a`);
    await this.prepare(primary.address);
    const replica = `${this.database}-b`;
    const readRoutes = this.routesTo(replica);
    const latency: LatencyFigures[] = [];
    for (const statement of STATEMENTS) {
      latency.push(...(await this.measureLatency(statement, readRoutes)));
    }
    latency.push(
      ...(await this.measureLatency(
        WRITE,
        this.routesTo(`${this.database}-a`),
      )),
    );
    const throughput: ThroughputFigures[] = [];
    for (const route of readRoutes.slice(1)) {
      for (const statement of STATEMENTS) {
        throughput.push(await this.measureThroughput(statement, route));
      }
    }
    return {latency, throughput};
  }

  private async prepare(primary: Address): Promise<void> {
    const client = await this.connect(primary);
    await client.query('CREATE TABLE cost (id text PRIMARY KEY, note text)');
    await client.query("INSERT INTO cost (id, note) VALUES ('1', 'first')");
    await client.end();
    await this.timer.sleep(200);
  }

  /**
   * Returns the routes to a member: direct, through its owner and through
   * another VM of its data centre.
   */
  private routesTo(memberName: string): readonly Route[] {
    const member = this.system.member(memberName);
    const nearby = this.system.layout.machines.filter(
      machine => machine.dataCentre === member.dataCentre,
    );
    const owner = findOwnerName(
      this.system.layout,
      memberName,
      member.dataCentre,
    );
    const local = nearby.find(({name}) => name === owner);
    const remote = nearby.find(({name}) => name !== owner);
    return [
      {name: 'direct', address: member.address, machine: undefined},
      ...(local === undefined ? [] : [routeThrough('local owner', local)]),
      ...(remote === undefined ? [] : [routeThrough('remote owner', remote)]),
    ];
  }

  private async measureLatency(
    statement: Statement,
    routes: readonly Route[],
  ): Promise<readonly LatencyFigures[]> {
    const clients = await Promise.all(
      routes.map(route => this.connect(route.address)),
    );
    const histograms = routes.map(() => build());
    // Routes alternate, so that all are measured in the same machine state.
    for (let round = 0; round < WARM_UP_ROUNDS + MEASURED_ROUNDS; round++) {
      for (const [index, client] of clients.entries()) {
        const start = this.timer.now();
        await statement.run(client);
        const elapsed = this.timer.now() - start;
        if (round < WARM_UP_ROUNDS) continue;
        const microseconds = Math.round(elapsed * MICROSECONDS_PER_MILLISECOND);
        (histograms[index] as Histogram).recordValue(microseconds);
      }
    }
    await Promise.all(clients.map(client => client.end()));
    const direct = (histograms[0] as Histogram).getValueAtPercentile(50);
    return routes.map((route, index) => {
      const histogram = histograms[index] as Histogram;
      const median = histogram.getValueAtPercentile(50);
      const p99 = histogram.getValueAtPercentile(99);
      const added = median - direct;
      return {way: route.name, statement: statement.name, median, p99, added};
    });
  }

  private async measureThroughput(
    statement: Statement,
    route: Route,
  ): Promise<ThroughputFigures> {
    const clients = await Promise.all(
      Array.from({length: LOAD_CALLERS}, () => this.connect(route.address)),
    );
    for (const client of clients) await statement.run(client);
    let count = 0;
    const start = this.timer.now();
    const startTicks = this.readProcessorTicks(route.machine ?? '');
    await Promise.all(
      clients.map(async client => {
        while (this.timer.now() - start < LOAD_MILLISECONDS) {
          await statement.run(client);
          count += 1;
        }
      }),
    );
    const seconds = (this.timer.now() - start) / 1_000;
    const ticks = this.readProcessorTicks(route.machine ?? '') - startTicks;
    await Promise.all(clients.map(client => client.end()));
    return {
      way: route.name,
      statement: statement.name,
      statementsASecond: Math.round(count / seconds),
      statementsACoreSecond: Math.round((count * TICKS_PER_SECOND) / ticks),
    };
  }

  /** Returns the processor time of an entry VM's process, in ticks. */
  private readProcessorTicks(machine: string): number {
    const processId = this.system.processes.processId(machine);
    const text = readFileSync(`/proc/${processId}/stat`, 'utf8');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    const user = Number(fields[USER_TICKS_FIELD]);
    return user + Number(fields[SYSTEM_TICKS_FIELD]);
  }

  private async connect({host, port}: Address): Promise<pg.Client> {
    const {database} = this;
    const client = new pg.Client({host, port, user: database, database});
    await client.connect();
    return client;
  }
}

function findOwnerName(
  layout: Layout,
  member: string,
  dataCentre: string,
): string | undefined {
  const machines = layout.machines.map(machine => ({
    name: machine.name,
    incarnation: 0,
    dataCentre: machine.dataCentre,
    peerAddress: machine.peerAddress,
    operatorAddress: machine.operatorAddress,
    controlVoter: machine.controlVoter,
    state: 'serving' as const,
  }));
  return ownerOf(member, dataCentre, machines)?.name;
}

function routeThrough(name: string, machine: MachineLayout): Route {
  return {name, address: machine.callerAddress, machine: machine.name};
}
