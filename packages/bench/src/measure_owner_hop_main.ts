import hdr from 'hdr-histogram-js';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SystemTimerService, TimerService} from '@apricotlock/timer';
import {Address, ownerOf} from '@apricotlock/topology';
import {Caller} from './caller.js';
import {createLayout, PROFILES} from './layout.js';
import {SystemUnderTest} from './system_under_test.js';
import {retryUntilDone} from './workload.js';

const DATABASE = 'booking-ledger-1';
const PRIMARY = `${DATABASE}-a`;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Latency of writes on one route to the primary. */
interface HopRow {
  readonly way: string;
  readonly writeMedianMicroseconds: number;
  readonly writeTailMicroseconds: number;
}

/** One route to the primary, sampled alternately with the others. */
class Route {
  private readonly histogram = hdr.build();
  private nextId = 0;

  private constructor(
    private readonly name: string,
    private readonly caller: Caller,
  ) {}

  static of(name: string, address: Address, timer: TimerService): Route {
    return new Route(name, Caller.create(DATABASE, DATABASE, address, timer));
  }

  async sample(isRecorded: boolean): Promise<void> {
    const milliseconds = await this.caller.measureMilliseconds(
      `INSERT INTO hops (id) VALUES ('${this.name} ${this.nextId++}')`,
    );
    const microseconds = Math.round(
      milliseconds * MICROSECONDS_PER_MILLISECOND,
    );
    if (isRecorded) this.histogram.recordValue(microseconds);
  }

  async finish(): Promise<HopRow> {
    await this.caller.close();
    return {
      way: this.name,
      writeMedianMicroseconds: this.histogram.getValueAtPercentile(50),
      writeTailMicroseconds: this.histogram.getValueAtPercentile(99),
    };
  }
}

async function measureRoutes(
  routes: readonly Route[],
  samples: number,
): Promise<readonly HopRow[]> {
  for (let sample = 0; sample < samples * 2; sample++) {
    // The first half is warm-up and is not recorded.
    for (const route of routes) await route.sample(sample >= samples);
  }
  return Promise.all(routes.map(route => route.finish()));
}

async function measure(): Promise<void> {
  const options = await yargs(hideBin(process.argv))
    .option('base-port', {type: 'number', default: 26_400})
    .option('samples', {type: 'number', default: 1_000})
    .strict()
    .parse();
  const timer = SystemTimerService.create();
  const profile = {...PROFILES.bonanno, databases: [DATABASE]};
  const system = await SystemUnderTest.start(
    createLayout(profile, options.basePort),
    timer,
  );
  try {
    await system.putFirstCatalogue(system.catalogueEntries());
    await system.waitForDatabases();
    const addresses = routesTo(system);
    const creator = Caller.create(DATABASE, DATABASE, addresses.local, timer);
    await retryUntilDone(timer, () =>
      creator.run('CREATE TABLE hops (id text PRIMARY KEY)'),
    );
    await creator.close();
    const routes = Object.entries(addresses).map(([name, address]) =>
      Route.of(name, address, timer),
    );
    console.table(await measureRoutes(routes, options.samples));
  } finally {
    await system.stop();
  }
}

/**
 * Returns the addresses of the routes to the primary: direct, through its
 * owner and through another VM.
 */
function routesTo(system: SystemUnderTest) {
  const {machines} = system.layout;
  const {address, dataCentre} = system.member(PRIMARY);
  const owner = ownerOf(
    PRIMARY,
    dataCentre,
    machines.map(machine => ({
      ...machine,
      incarnation: 0,
      state: 'serving' as const,
    })),
  );
  const local = machines.find(({name}) => name === owner?.name);
  const remote = machines.find(({name}) => name !== owner?.name);
  return {
    direct: address,
    local: local?.callerAddress as Address,
    remote: remote?.callerAddress as Address,
  };
}

await measure();
