import {TimerService} from '@apricotlock/timer';
import {randomUUID} from 'node:crypto';
import {Caller, Outcome} from './caller.js';
import {fitLine, Sample} from './linear_fit.js';
import {MachineLayout} from './layout.js';
import {usageOf} from './process_usage.js';
import {Slope, SlopeName} from './slope.js';
import {SystemUnderTest} from './system_under_test.js';

/** One statement of a load. */
type Work = (client: Caller) => Promise<Outcome>;

const CALLER_COUNTS = [4, 8, 16, 24];
const WARM_UP_CALLERS = 24;
const RUN_MILLISECONDS = 3_000;
const THINK_MILLISECONDS = 4;
const MILLISECONDS_A_SECOND = 1_000;

/** The processor time of each entry VM at one rate of statements. */
interface LoadSample {
  readonly statementsASecond: number;
  /** Microseconds of processor time a second, by VM. */
  readonly usage: readonly number[];
}

/** Measures what a statement costs the caller's and the owner's VM. */
export async function measureStatementCost(
  system: SystemUnderTest,
  timer: TimerService,
): Promise<readonly Slope[]> {
  const [ownerMachine, callerMachine] = system.layout.machines as readonly [
    MachineLayout,
    MachineLayout,
  ];
  const same = await loads(system, timer, ownerMachine);
  const apart = await loads(system, timer, callerMachine);
  return [
    slope('processor time of a statement, owner on the same VM', same, 0),
    slope(
      'processor time of a statement on the caller’s VM, owner elsewhere',
      apart,
      1,
    ),
    slope('processor time of a statement on the owner’s VM', apart, 0),
  ];
}

/** Measures what a write costs all entry VMs together. */
export async function measureWriteCost(
  system: SystemUnderTest,
  timer: TimerService,
): Promise<Slope> {
  const samples = await loads(system, timer, system.machine(0), writeRow);
  const points: readonly Sample[] = samples.map(sample => ({
    size: sample.statementsASecond,
    value: sample.usage.reduce((total, time) => total + time, 0),
  }));
  return {
    name: 'processor time of a write on all entry VMs',
    unit: 'microseconds a statement',
    fit: fitLine(points),
    method: 'processor time a second at four rates of confirmed inserts',
  };
}

function slope(
  name: SlopeName,
  samples: readonly LoadSample[],
  place: number,
): Slope {
  const points: readonly Sample[] = samples.map(sample => ({
    size: sample.statementsASecond,
    value: sample.usage[place] ?? 0,
  }));
  return {
    name,
    unit: 'microseconds a statement',
    fit: fitLine(points),
    method: 'processor time a second at four rates of `SELECT 1`',
  };
}

async function loads(
  system: SystemUnderTest,
  timer: TimerService,
  through: MachineLayout,
  work: Work = readConstant,
): Promise<readonly LoadSample[]> {
  const samples: LoadSample[] = [];
  // Code that is compiled while it is measured would bend the line.
  await loadOnce(system, timer, through, WARM_UP_CALLERS, work);
  for (const callers of CALLER_COUNTS) {
    samples.push(await loadOnce(system, timer, through, callers, work));
  }
  return samples;
}

async function loadOnce(
  system: SystemUnderTest,
  timer: TimerService,
  through: MachineLayout,
  callers: number,
  work: Work,
): Promise<LoadSample> {
  const [database] = system.layout.profile.databases;
  const name = database as string;
  const clients = Array.from({length: callers}, () =>
    Caller.create(name, name, through.callerAddress, timer),
  );
  await Promise.all(clients.map(client => client.run('SELECT 1')));
  const before = processorTimes(system);
  const start = timer.now();
  const counts = await Promise.all(
    clients.map(client =>
      repeatUntil(client, start + RUN_MILLISECONDS, timer, work),
    ),
  );
  const seconds = (timer.now() - start) / MILLISECONDS_A_SECOND;
  const after = processorTimes(system);
  await Promise.all(clients.map(client => client.close()));
  const statements = counts.reduce((total, count) => total + count, 0);
  return {
    statementsASecond: statements / seconds,
    usage: after.map((time, place) => (time - (before[place] ?? 0)) / seconds),
  };
}

async function repeatUntil(
  client: Caller,
  end: number,
  timer: TimerService,
  work: Work,
): Promise<number> {
  let count = 0;
  while (timer.now() < end) {
    const outcome = await work(client);
    if (outcome.kind === 'done') count += 1;
    await timer.sleep(THINK_MILLISECONDS);
  }
  return count;
}

function processorTimes(system: SystemUnderTest): readonly number[] {
  return system.layout.machines.map(machine => {
    const processId = system.processes.processId(machine.name) ?? 0;
    return usageOf(processId).processorMicroseconds;
  });
}

function readConstant(client: Caller): Promise<Outcome> {
  return client.run('SELECT 1');
}

function writeRow(client: Caller): Promise<Outcome> {
  return client.run('INSERT INTO written (id) VALUES ($1)', [randomUUID()]);
}
