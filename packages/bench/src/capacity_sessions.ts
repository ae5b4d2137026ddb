import {TimerService} from '@apricotlock/timer';
import pg from 'pg';
import {fitLine, Sample} from './linear_fit.js';
import {readProcessUsage} from './process_usage.js';
import {Slope} from './slope.js';
import {SystemUnderTest} from './system_under_test.js';

const SESSION_COUNTS = [0, 1_000, 2_000, 3_000];
const CONCURRENT_CONNECTS = 50;
const SETTLE_MILLISECONDS = 3_000;

/** Measures the memory of an idle caller's session on an entry VM. */
export async function measureSessionMemory(
  system: SystemUnderTest,
  timer: TimerService,
): Promise<Slope> {
  const clients: pg.Client[] = [];
  const samples: Sample[] = [];
  for (const size of SESSION_COUNTS) {
    await openSessionsUpTo(size, clients, system);
    await timer.sleep(SETTLE_MILLISECONDS);
    const processId = system.processes.processId('vm-1') ?? 0;
    samples.push({size, value: readProcessUsage(processId).residentBytes});
  }
  await Promise.all(clients.map(client => client.end()));
  return {
    name: 'memory of an idle session',
    unit: 'bytes a session',
    fit: fitLine(samples),
    method:
      'resident memory of one entry VM’s process with that many idle callers, ' +
      'each after one read',
  };
}

async function openSessionsUpTo(
  size: number,
  clients: pg.Client[],
  system: SystemUnderTest,
): Promise<void> {
  while (clients.length < size) {
    const count = Math.min(CONCURRENT_CONNECTS, size - clients.length);
    const opened = await Promise.all(
      Array.from({length: count}, () => openSession(system)),
    );
    clients.push(...opened);
  }
}

async function openSession(system: SystemUnderTest): Promise<pg.Client> {
  const [database] = system.layout.profile.databases;
  const {callerAddress} = system.machine(0);
  const client = new pg.Client({
    ...callerAddress,
    user: database as string,
    database: database as string,
  });
  await client.connect();
  await client.query('SELECT 1');
  return client;
}
