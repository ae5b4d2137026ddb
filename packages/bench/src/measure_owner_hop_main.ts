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

async function measureWay(
  way: string,
  address: Address,
  samples: number,
  timer: TimerService,
): Promise<HopRow> {
  const caller = Caller.create(DATABASE, DATABASE, address, timer);
  const histogram = hdr.build();
  for (let sample = 0; sample < samples * 2; sample++) {
    const took = await caller.timed(
      `INSERT INTO hops (id) VALUES ('${way} ${sample}')`,
    );
    // The first half warms up.
    if (sample < samples) continue;
    histogram.recordValue(Math.round(took * MICROSECONDS_A_MILLISECOND));
  }
  await caller.close();
  return {
    way,
    writeMedianMicroseconds: histogram.getValueAtPercentile(50),
    writeTailMicroseconds: histogram.getValueAtPercentile(99),
  };
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
    await system
      .operator()
      .putCatalogue('first', 0, system.catalogueEntries(), true);
    await system.untilWhole();
    const ways = waysTo(system);
    const creator = Caller.create(DATABASE, DATABASE, ways.local, timer);
    await untilDone(timer, () =>
      creator.run('CREATE TABLE hops (id text PRIMARY KEY)'),
    );
    await creator.close();
    const rows: HopRow[] = [];
    for (const [way, address] of Object.entries(ways)) {
      rows.push(await measureWay(way, address, options.samples, timer));
    }
    console.table(rows);
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
