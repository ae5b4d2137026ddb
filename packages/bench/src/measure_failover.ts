import {TimerService} from '@apricotlock/timer';
import {Figure, FigureRecorder} from './figure.js';
import {SystemUnderTest} from './system_under_test.js';
import {totalOf} from './violations.js';
import {Workload} from './workload.js';

const CALLERS = 6;
const READS_A_WRITE = 1;
const THINK_MILLISECONDS = 1;
const BEFORE_FAULT_MILLISECONDS = 300;
const AFTER_FAULT_MILLISECONDS = 1_500;
const GAP_LIMIT_MILLISECONDS = 6_000;

/** How a primary is lost. */
export type PrimaryLoss = 'killed' | 'frozen';

/** The gaps of repeated losses, and what callers saw go wrong. */
export interface FailoverMeasurement {
  readonly figure: Figure;
  readonly violations: number;
}

const TARGETS: Readonly<Record<PrimaryLoss, number>> = {
  killed: 300,
  frozen: 1_000,
};

/** Loses the primary of the system's first database again and again. */
export async function measureFailoverGap(
  system: SystemUnderTest,
  timer: TimerService,
  loss: PrimaryLoss,
  runs: number,
): Promise<FailoverMeasurement> {
  const target = TARGETS[loss];
  const recorder = FigureRecorder.create(
    `failover gap, primary ${loss}`,
    'ms',
    `p99 <= ${target} ms, never over ${GAP_LIMIT_MILLISECONDS} ms`,
  );
  let violations = 0;
  for (let run = 0; run < runs; run++) {
    await untilSettled(system);
    const workload = await startLoad(system, timer, `${loss}_${run}`);
    await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    workload.forgetGaps();
    const old = (await groupOf(system)).primary ?? '';
    await lose(system, old, loss);
    await timer.sleep(AFTER_FAULT_MILLISECONDS);
    recorder.record(workload.longestWriteGapMilliseconds);
    await giveBack(system, old, loss);
    violations += totalOf((await workload.finish()).violations);
  }
  const isMet = ({p99, maximum}: Omit<Figure, 'met'>) =>
    p99 <= target && maximum <= GAP_LIMIT_MILLISECONDS;
  return {figure: recorder.figure(isMet), violations};
}

/** Counts changes of primary while nothing is wrong with the primary. */
export async function measureFalseFailovers(
  system: SystemUnderTest,
  timer: TimerService,
  runs: number,
): Promise<FailoverMeasurement> {
  const recorder = FigureRecorder.create(
    'false failovers: slow statements, replica 400 ms behind',
    'a run',
    '0',
  );
  let violations = 0;
  for (let run = 0; run < runs; run++) {
    await untilSettled(system);
    const {primary, term} = await groupOf(system);
    const replica = system.layout.members.find(({name}) => name !== primary);
    await system.command(primary ?? '', 'slow', {statement: 20});
    await system.command(replica?.name ?? '', 'slow', {receive: 400});
    const workload = await startLoad(system, timer, `slow_${run}`);
    await timer.sleep(AFTER_FAULT_MILLISECONDS);
    violations += totalOf((await workload.finish()).violations);
    await system.command(primary ?? '', 'slow', {statement: 0});
    await system.command(replica?.name ?? '', 'slow', {receive: 0});
    recorder.record((await groupOf(system)).term - term);
  }
  return {figure: recorder.figure(({maximum}) => maximum === 0), violations};
}

function startLoad(
  system: SystemUnderTest,
  timer: TimerService,
  table: string,
): Promise<Workload> {
  const {layout} = system;
  return Workload.start(
    {
      database: layout.profile.databases[0] as string,
      proxies: layout.machines.map(machine => machine.callerAddress),
      callers: CALLERS,
      readsAWrite: READS_A_WRITE,
      thinkMilliseconds: THINK_MILLISECONDS,
      timer,
    },
    table,
  );
}

async function lose(
  system: SystemUnderTest,
  member: string,
  loss: PrimaryLoss,
): Promise<void> {
  const signal = loss === 'killed' ? 'SIGKILL' : 'SIGSTOP';
  system.processes.signal(member, signal);
}

async function giveBack(
  system: SystemUnderTest,
  member: string,
  loss: PrimaryLoss,
): Promise<void> {
  if (loss === 'frozen') {
    system.processes.signal(member, 'SIGCONT');
    return;
  }
  await system.processes.ended(member);
  system.startMember({...system.member(member), primary: false});
}

async function groupOf(system: SystemUnderTest) {
  const status = await system.operator().status();
  const [group] = status.unsafeCoerce().databases;
  return group as {readonly primary: string | null; readonly term: number};
}

/** Waits until every member is of the term of one primary. */
async function untilSettled(system: SystemUnderTest): Promise<void> {
  await system.until('the group', async () => {
    const {term, primary} = await groupOf(system);
    const names = system.layout.members.map(({name}) => name);
    const terms = await Promise.all(names.map(name => termOf(system, name)));
    return primary !== null && terms.every(known => known === term);
  });
}

async function termOf(system: SystemUnderTest, member: string) {
  const {host, port} = system.member(member).commandAddress;
  const answer = await fetch(`http://${host}:${port}/state`).catch(
    () => undefined,
  );
  const state = (await answer?.json()) as
    {readonly status: {readonly term: number}} | undefined;
  return state?.status.term;
}
