import {TimerService} from '@apricotlock/timer';
import {Figure, FigureRecorder} from './figure.js';
import {SystemUnderTest} from './system_under_test.js';
import {countViolations} from './violations.js';
import {Workload} from './workload.js';

const CALLERS = 6;
const READS_PER_WRITE = 1;
const THINK_MILLISECONDS = 1;
const BEFORE_FAULT_MILLISECONDS = 300;
const AFTER_FAULT_MILLISECONDS = 1_500;
const GAP_LIMIT_MILLISECONDS = 6_000;

/** How a primary fails. */
export type PrimaryFault = 'killed' | 'frozen';

/** Results of repeated faults, with the violations that callers observed. */
export interface FailoverMeasurement {
  readonly figure: Figure;
  readonly violations: number;
}

const TARGETS: Readonly<Record<PrimaryFault, number>> = {
  killed: 300,
  frozen: 1_000,
};

/**
 * Measures the longest period without an acknowledged write in each of `runs`
 * failures of the primary of the system's first database.
 */
export async function measureFailoverGap(
  system: SystemUnderTest,
  timer: TimerService,
  fault: PrimaryFault,
  runs: number,
): Promise<FailoverMeasurement> {
  const target = TARGETS[fault];
  const recorder = FigureRecorder.create(
    `failover gap, primary ${fault}`,
    'ms',
    `p99 <= ${target} ms, never over ${GAP_LIMIT_MILLISECONDS} ms`,
  );
  let violations = 0;
  for (let run = 0; run < runs; run++) {
    await waitUntilStable(system);
    const workload = await startLoad(system, timer, `${fault}_${run}`);
    await timer.sleep(BEFORE_FAULT_MILLISECONDS);
    workload.resetLongestWriteGap();
    const oldPrimary = (await fetchGroup(system)).primary ?? '';
    await failPrimary(system, oldPrimary, fault);
    await timer.sleep(AFTER_FAULT_MILLISECONDS);
    recorder.record(workload.longestWriteGapMilliseconds);
    await recoverMember(system, oldPrimary, fault);
    violations += countViolations((await workload.finish()).violations);
  }
  const isMet = ({p99, maximum}: Omit<Figure, 'met'>) =>
    p99 <= target && maximum <= GAP_LIMIT_MILLISECONDS;
  return {figure: recorder.figure(isMet), violations};
}

/**
 * Counts failovers while the primary works but its statements are slow and a
 * replica is behind. The expected number is zero.
 */
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
    await waitUntilStable(system);
    const {primary, term} = await fetchGroup(system);
    const replica = system.layout.members.find(({name}) => name !== primary);
    await system.sendCommand(primary ?? '', 'slow', {statement: 20});
    await system.sendCommand(replica?.name ?? '', 'slow', {receive: 400});
    const workload = await startLoad(system, timer, `slow_${run}`);
    await timer.sleep(AFTER_FAULT_MILLISECONDS);
    violations += countViolations((await workload.finish()).violations);
    await system.sendCommand(primary ?? '', 'slow', {statement: 0});
    await system.sendCommand(replica?.name ?? '', 'slow', {receive: 0});
    recorder.record((await fetchGroup(system)).term - term);
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
      readsPerWrite: READS_PER_WRITE,
      thinkMilliseconds: THINK_MILLISECONDS,
      timer,
    },
    table,
  );
}

async function failPrimary(
  system: SystemUnderTest,
  member: string,
  fault: PrimaryFault,
): Promise<void> {
  const signal = fault === 'killed' ? 'SIGKILL' : 'SIGSTOP';
  system.processes.signal(member, signal);
}

async function recoverMember(
  system: SystemUnderTest,
  member: string,
  fault: PrimaryFault,
): Promise<void> {
  if (fault === 'frozen') {
    system.processes.signal(member, 'SIGCONT');
    return;
  }
  await system.processes.waitForExit(member);
  system.startMember({...system.member(member), primary: false});
}

async function fetchGroup(system: SystemUnderTest) {
  const status = await system.operatorClient().status();
  const [group] = status.unsafeCoerce().databases;
  return group as {readonly primary: string | null; readonly term: number};
}

/** Waits until there is a primary and all members report its term. */
async function waitUntilStable(system: SystemUnderTest): Promise<void> {
  await system.waitUntil(
    'all members to reach the term of the primary',
    async () => {
      const {term, primary} = await fetchGroup(system);
      const names = system.layout.members.map(({name}) => name);
      const terms = await Promise.all(
        names.map(name => fetchTerm(system, name)),
      );
      return primary !== null && terms.every(memberTerm => memberTerm === term);
    },
  );
}

async function fetchTerm(system: SystemUnderTest, member: string) {
  const {host, port} = system.member(member).commandAddress;
  const answer = await fetch(`http://${host}:${port}/state`).catch(
    () => undefined,
  );
  const state = (await answer?.json()) as
    {readonly status: {readonly term: number}} | undefined;
  return state?.status.term;
}
