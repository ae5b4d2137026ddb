import hdr from 'hdr-histogram-js';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SystemTimerService, TimerService} from '@apricotlock/timer';
import {Address, ownerOf} from '@apricotlock/topology';
import {Caller} from './caller.js';
import {layOut, PROFILES} from './layout.js';
import {SystemUnderTest} from './system_under_test.js';
import {untilDone} from './workload.js';

const DATABASE = 'booking-ledger-1';
const PRIMARY = `${DATABASE}-a`;
const MICROSECONDS_A_MILLISECOND = 1_000;

/** What statements took on one way to the primary. */
interface HopRow {
  readonly way: string;
  readonly writeMedianMicroseconds: number;
  readonly writeTailMicroseconds: number;
}

/** One way to the primary, sampled in turn with the others. */
class Way {
  private readonly histogram = hdr.build();
  private turn = 0;

  private constructor(
    private readonly name: string,
    private readonly caller: Caller,
  ) {}

  static of(name: string, address: Address, timer: TimerService): Way {
    return new Way(name, Caller.create(DATABASE, DATABASE, address, timer));
  }

  async sample(counts: boolean): Promise<void> {
    const took = await this.caller.timed(
      `INSERT INTO hops (id) VALUES ('${this.name} ${this.turn++}')`,
    );
    const microseconds = Math.round(took * MICROSECONDS_A_MILLISECOND);
    if (counts) this.histogram.recordValue(microseconds);
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

async function measureWays(
  ways: readonly Way[],
  samples: number,
): Promise<readonly HopRow[]> {
  for (let sample = 0; sample < samples * 2; sample++) {
    // The first half warms up.
    for (const way of ways) await way.sample(sample >= samples);
  }
  return Promise.all(ways.map(way => way.finish()));
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
    layOut(profile, options.basePort),
    timer,
  );
  try {
    await system.acceptCatalogue(system.catalogueEntries());
    await system.untilWhole();
    const ways = waysTo(system);
    const creator = Caller.create(DATABASE, DATABASE, ways.local, timer);
    await untilDone(timer, () =>
      creator.run('CREATE TABLE hops (id text PRIMARY KEY)'),
    );
    await creator.close();
    const measured = Object.entries(ways).map(([name, address]) =>
      Way.of(name, address, timer),
    );
    console.table(await measureWays(measured, options.samples));
  } finally {
    await system.stop();
  }
}

/** The direct way to the primary, by its owner, and by another VM. */
function waysTo(system: SystemUnderTest) {
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
