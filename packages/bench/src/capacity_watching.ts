import {TimerService} from '@apricotlock/timer';
import {createLayout, Profile} from './layout.js';
import {fitLine, Sample} from './linear_fit.js';
import {readProcessUsage} from './process_usage.js';
import {Slope} from './slope.js';
import {SystemUnderTest} from './system_under_test.js';

const DATABASE_COUNTS = [1, 2, 4];
const SETTLE_MILLISECONDS = 2_000;
const RUN_MILLISECONDS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;

interface WatchSample {
  readonly databases: number;
  readonly processorMicroseconds: number;
  readonly bytes: number;
}

/** Measures what watching idle databases costs their owner each second. */
export async function measureWatching(
  profile: Profile,
  basePort: number,
  timer: TimerService,
): Promise<readonly Slope[]> {
  const samples: WatchSample[] = [];
  for (const databases of DATABASE_COUNTS) {
    samples.push(await measureWatch(profile, databases, basePort, timer));
  }
  const method =
    'one entry VM that owns all three members of each of that many idle ' +
    'databases';
  return [
    {
      name: 'processor time a second of watching a database',
      unit: 'microseconds a second',
      fit: fitLine(toSamples(samples, sample => sample.processorMicroseconds)),
      method,
    },
    {
      name: 'bytes a second of watching a database',
      unit: 'bytes a second',
      fit: fitLine(toSamples(samples, sample => sample.bytes)),
      method,
    },
  ];
}

function toSamples(
  samples: readonly WatchSample[],
  valueOf: (sample: WatchSample) => number,
): readonly Sample[] {
  return samples.map(sample => ({
    size: sample.databases,
    value: valueOf(sample),
  }));
}

async function measureWatch(
  profile: Profile,
  databases: number,
  basePort: number,
  timer: TimerService,
): Promise<WatchSample> {
  const names = Array.from(
    {length: databases},
    (_, index) => `db-${index + 1}`,
  );
  const layout = createLayout({...profile, databases: names}, basePort);
  const system = await SystemUnderTest.start(layout, timer);
  try {
    const entries = system.catalogueEntries();
    await system.putFirstCatalogue(entries);
    await system.waitForDatabases();
    await timer.sleep(SETTLE_MILLISECONDS);
    const processId = system.processes.processId('vm-1') ?? 0;
    const before = readProcessUsage(processId);
    await timer.sleep(RUN_MILLISECONDS);
    const after = readProcessUsage(processId);
    const seconds = RUN_MILLISECONDS / MILLISECONDS_PER_SECOND;
    const used = after.processorMicroseconds - before.processorMicroseconds;
    return {
      databases,
      processorMicroseconds: used / seconds,
      bytes: (after.transferredBytes - before.transferredBytes) / seconds,
    };
  } finally {
    await system.stop();
  }
}
