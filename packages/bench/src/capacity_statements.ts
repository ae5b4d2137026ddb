import {TimerService} from '@apricotlock/timer';
import {randomUUID} from 'node:crypto';
import {Caller, Outcome} from './caller.js';
import {fitLine, Sample} from './linear_fit.js';
import {MachineLayout} from './layout.js';
import {readProcessUsage} from './process_usage.js';
import {Slope, SlopeName} from './slope.js';
import {SystemUnderTest} from './system_under_test.js';

/** Runs one statement of a load. */
type StatementRunner = (client: Caller) => Promise<Outcome>;

const CALLER_COUNTS = [4, 8, 16, 24];
const WARM_UP_CALLERS = 24;
const RUN_MILLISECONDS = 3_000;
const THINK_MILLISECONDS = 4;
const MILLISECONDS_PER_SECOND = 1_000;

/** Processor time of the entry VMs at one rate of statements. */
interface LoadSample {
  readonly statementsPerSecond: number;
  /** Microseconds of processor time per second, in the order of the VMs. */
  readonly processorTimes: readonly number[];
}

/** Measures a statement's processor time on the caller's and owner's VM. */
export async function measureStatementCost(
  system: SystemUnderTest,
  timer: TimerService,
): Promise<readonly Slope[]> {
  const [ownerMachine, callerMachine] = system.layout.machines as readonly [
    MachineLayout,
    MachineLayout,
  ];
  const localOwner = await measureLoads(system, timer, ownerMachine);
  const remoteOwner = await measureLoads(system, timer, callerMachine);
  return [
    toSlope(
      'processor time of a statement, owner on the same VM',
      localOwner,
      0,
    ),
    toSlope(
      'processor time of a statement on the caller’s VM, owner elsewhere',
      remoteOwner,
      1,
    ),
    toSlope('processor time of a statement on the owner’s VM', remoteOwner, 0),
  ];
}

/** Measures the processor time of a write on all entry VMs together. */
export async function measureWriteCost(
  system: SystemUnderTest,
  timer: TimerService,
): Promise<Slope> {
  const samples = await measureLoads(
    system,
    timer,
    system.machine(0),
    writeRow,
  );
  const points: readonly Sample[] = samples.map(sample => ({
    size: sample.statementsPerSecond,
    value: sample.processorTimes.reduce((total, time) => total + time, 0),
  }));
  return {
    name: 'processor time of a write on all entry VMs',
    unit: 'microseconds a statement',
    fit: fitLine(points),
    method: 'processor time a second at four rates of confirmed inserts',
  };
}

function toSlope(
  name: SlopeName,
  samples: readonly LoadSample[],
  machineIndex: number,
): Slope {
  const points: readonly Sample[] = samples.map(sample => ({
    size: sample.statementsPerSecond,
    value: sample.processorTimes[machineIndex] ?? 0,
  }));
  return {
    name,
    unit: 'microseconds a statement',
    fit: fitLine(points),
    method: 'processor time a second at four rates of `SELECT 1`',
  };
}

async function measureLoads(
  system: SystemUnderTest,
  timer: TimerService,
  through: MachineLayout,
  runStatement: StatementRunner = readConstant,
): Promise<readonly LoadSample[]> {
  const samples: LoadSample[] = [];
  // Warm-up: JIT compilation during a sample would distort the fit.
  await measureLoad(system, timer, through, WARM_UP_CALLERS, runStatement);
  for (const callers of CALLER_COUNTS) {
    samples.push(
      await measureLoad(system, timer, through, callers, runStatement),
    );
  }
  return samples;
}

async function measureLoad(
  system: SystemUnderTest,
  timer: TimerService,
  through: MachineLayout,
  callers: number,
  runStatement: StatementRunner,
): Promise<LoadSample> {
  const [database] = system.layout.profile.databases;
  const name = database as string;
  const clients = Array.from({length: callers}, () =>
    Caller.create(name, name, through.callerAddress, timer),
  );
  await Promise.all(clients.map(client => client.run('SELECT 1')));
  const before = readProcessorTimes(system);
  const start = timer.now();
  const counts = await Promise.all(
    clients.map(client =>
      repeatUntil(client, start + RUN_MILLISECONDS, timer, runStatement),
    ),
  );
  const seconds = (timer.now() - start) / MILLISECONDS_PER_SECOND;
  const after = readProcessorTimes(system);
  await Promise.all(clients.map(client => client.close()));
  const statements = counts.reduce((total, count) => total + count, 0);
  return {
    statementsPerSecond: statements / seconds,
    processorTimes: after.map(
      (time, index) => (time - (before[index] ?? 0)) / seconds,
    ),
  };
}

async function repeatUntil(
  client: Caller,
  end: number,
  timer: TimerService,
  runStatement: StatementRunner,
): Promise<number> {
  let count = 0;
  while (timer.now() < end) {
    const outcome = await runStatement(client);
    if (outcome.kind === 'done') count += 1;
    await timer.sleep(THINK_MILLISECONDS);
  }
  return count;
}

function readProcessorTimes(system: SystemUnderTest): readonly number[] {
  return system.layout.machines.map(machine => {
    const processId = system.processes.processId(machine.name) ?? 0;
    return readProcessUsage(processId).processorMicroseconds;
  });
}

function readConstant(client: Caller): Promise<Outcome> {
  return client.run('SELECT 1');
}

function writeRow(client: Caller): Promise<Outcome> {
  return client.run('INSERT INTO written (id) VALUES ($1)', [randomUUID()]);
}
