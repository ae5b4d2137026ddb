import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Packr} from 'msgpackr';
import {ClusterView, DatabaseGroup, Member} from '@apricotlock/topology';
import {TimerService} from '@apricotlock/timer';
import {fitLine, Sample} from './linear_fit.js';
import {Slope} from './slope.js';

const DATABASE_COUNTS = [300, 600, 1_200, 2_400];
const REPETITIONS = 20;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Measures size, memory and decoding time of a view of all databases. */
export function measureViews(timer: TimerService): readonly Slope[] {
  const packr = new Packr({useRecords: false});
  const encoded = DATABASE_COUNTS.map(size => packr.pack(exampleView(size)));
  const samples = (valueOf: (bytes: Buffer) => number): readonly Sample[] =>
    encoded.map((bytes, index) => ({
      size: DATABASE_COUNTS[index] ?? 0,
      value: valueOf(bytes),
    }));
  const method = 'views of that many databases with three members each';
  return [
    {
      name: 'bytes of a view for each database',
      unit: 'bytes a database',
      fit: fitLine(samples(bytes => bytes.length)),
      method,
    },
    {
      name: 'memory of a view for each database',
      unit: 'bytes a database',
      fit: fitLine(
        samples(bytes => measureHeapBytes(() => packr.unpack(bytes))),
      ),
      method,
    },
    {
      name: 'processor time to take a view for each database',
      unit: 'microseconds a database',
      fit: fitLine(
        samples(bytes => measureDecodeMicroseconds(packr, bytes, timer)),
      ),
      method: `${method}, decoded ${REPETITIONS} times`,
    },
  ];
}

function measureDecodeMicroseconds(
  packr: Packr,
  bytes: Buffer,
  timer: TimerService,
): number {
  const start = timer.now();
  for (let count = 0; count < REPETITIONS; count++) packr.unpack(bytes);
  const milliseconds = (timer.now() - start) / REPETITIONS;
  return milliseconds * MICROSECONDS_PER_MILLISECOND;
}

function measureHeapBytes(createValue: () => unknown): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  const before = process.memoryUsage().heapUsed;
  const retained = createValue();
  collect();
  const after = process.memoryUsage().heapUsed;
  // Using the value here keeps it from being garbage-collected earlier.
  return retained === undefined ? 0 : after - before;
}

function exampleView(databases: number): ClusterView {
  const groups = Array.from({length: databases}, (_, index) =>
    exampleGroup(`booking-ledger-${index}`),
  );
  const entries = groups.map(({database}) => ({
    name: database,
    owner: 'counter-team',
    class: 'critical' as const,
    database,
    members: 3,
    limits: {
      connections: 16,
      slots: 2,
      queueLength: 1_000,
      queueMilliseconds: 2_000,
    },
  }));
  return {index: databases, catalogue: {version: 1, entries}, groups};
}

function exampleGroup(database: string): DatabaseGroup {
  const members = ['a', 'b', 'c'].map((suffix, index): Member => ({
    name: `${database}-${suffix}`,
    database,
    dataCentre: 'catania',
    address: {host: `10.0.${index}.7`, port: 5432},
    apiAddress: {host: `10.0.${index}.7`, port: 8008},
    incarnation: 1_790_000_000_000 + index,
    state: 'active',
  }));
  const primary = `${database}-a`;
  return {database, size: 3, term: 7, primary, members};
}
