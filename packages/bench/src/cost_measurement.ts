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
const MICROSECONDS_A_MILLISECOND = 1_000;
/** Linux reports processor time in ticks of this many a second. */
const TICKS_A_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** What one way to a database costs, in microseconds. */
export interface LatencyFigures {
  readonly way: string;
  readonly statement: string;
  readonly median: number;
  readonly p99: number;
  /** Median less the median of the direct connection. */
  readonly added: number;
}

/** How much one entry VM's processor carries. */
export interface ThroughputFigures {
  readonly way: string;
  readonly statement: string;
  readonly statementsASecond: number;
  readonly statementsACoreSecond: number;
}

/** All that one run of the measurement found. */
export interface CostReport {
  readonly latency: readonly LatencyFigures[];
  readonly throughput: readonly ThroughputFigures[];
}

interface Way {
  readonly name: string;
  readonly address: Address;
  /** The entry VM that the way goes through. */
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

/** Measures what the proxy adds to a direct connection. */
export class CostMeasurement {
  private constructor(
    private readonly system: SystemUnderTest,
    private readonly database: string,
    private readonly timer: TimerService,
  ) {}

  /** A measurement on a system that serves `database`. */
  static of(
    system: SystemUnderTest,
    database: string,
    timer: TimerService,
  ): CostMeasurement {
    return new CostMeasurement(system, database, timer);
  }

  /** Measures latency first, then the load that a processor carries. */
  async run(): Promise<CostReport> {
    const primary = this.system.member(`${this.database}-a`);
    await this.prepare(primary.address);
    const replica = `${this.database}-b`;
    const reads = this.ways(replica);
    const latency: LatencyFigures[] = [];
    for (const statement of STATEMENTS) {
      latency.push(...(await this.latencyOf(statement, reads)));
    }
    latency.push(
      ...(await this.latencyOf(WRITE, this.ways(`${this.database}-a`))),
    );
    const throughput: ThroughputFigures[] = [];
    for (const way of reads.slice(1)) {
      for (const statement of STATEMENTS) {
        throughput.push(await this.throughputOf(statement, way));
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

  /** Direct, through the member's owner, and through another VM near by. */
  private ways(memberName: string): readonly Way[] {
    const member = this.system.member(memberName);
    const near = this.system.layout.machines.filter(
      machine => machine.dataCentre === member.dataCentre,
    );
    const owner = ownerName(this.system.layout, memberName, member.dataCentre);
    const local = near.find(({name}) => name === owner);
    const remote = near.find(({name}) => name !== owner);
    return [
      {name: 'direct', address: member.address, machine: undefined},
      ...(local === undefined ? [] : [wayThrough('local owner', local)]),
      ...(remote === undefined ? [] : [wayThrough('remote owner', remote)]),
    ];
  }

  private async latencyOf(
    statement: Statement,
    ways: readonly Way[],
  ): Promise<readonly LatencyFigures[]> {
    const clients = await Promise.all(
      ways.map(way => this.connect(way.address)),
    );
    const histograms = ways.map(() => build());
    // The ways take turns, so that all see the same state of the machine.
    for (let round = 0; round < WARM_UP_ROUNDS + MEASURED_ROUNDS; round++) {
      for (const [index, client] of clients.entries()) {
        const start = this.timer.now();
        await statement.run(client);
        const taken = this.timer.now() - start;
        if (round < WARM_UP_ROUNDS) continue;
        const microseconds = Math.round(taken * MICROSECONDS_A_MILLISECOND);
        (histograms[index] as Histogram).recordValue(microseconds);
      }
    }
    await Promise.all(clients.map(client => client.end()));
    const direct = (histograms[0] as Histogram).getValueAtPercentile(50);
    return ways.map((way, index) => {
      const histogram = histograms[index] as Histogram;
      const median = histogram.getValueAtPercentile(50);
      const p99 = histogram.getValueAtPercentile(99);
      const added = median - direct;
      return {way: way.name, statement: statement.name, median, p99, added};
    });
  }

  private async throughputOf(
    statement: Statement,
    way: Way,
  ): Promise<ThroughputFigures> {
    const clients = await Promise.all(
      Array.from({length: LOAD_CALLERS}, () => this.connect(way.address)),
    );
    for (const client of clients) await statement.run(client);
    let count = 0;
    const start = this.timer.now();
    const startTicks = this.ticksOf(way.machine ?? '');
    await Promise.all(
      clients.map(async client => {
        while (this.timer.now() - start < LOAD_MILLISECONDS) {
          await statement.run(client);
          count += 1;
        }
      }),
    );
    const seconds = (this.timer.now() - start) / 1_000;
    const ticks = this.ticksOf(way.machine ?? '') - startTicks;
    await Promise.all(clients.map(client => client.end()));
    return {
      way: way.name,
      statement: statement.name,
      statementsASecond: Math.round(count / seconds),
      statementsACoreSecond: Math.round((count * TICKS_A_SECOND) / ticks),
    };
  }

  /** Processor time of an entry VM's process, in ticks. */
  private ticksOf(machine: string): number {
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

function ownerName(
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

function wayThrough(name: string, machine: MachineLayout): Way {
  return {name, address: machine.callerAddress, machine: machine.name};
}
