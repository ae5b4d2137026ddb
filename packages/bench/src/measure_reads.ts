import {TimerService} from '@apricotlock/timer';
import {formatAddress} from '@apricotlock/topology';
import {Figure, FigureRecorder} from './figure.js';
import {fetchReadCounts} from './read_counts.js';
import {ReaderLoad} from './reader_load.js';
import {SystemUnderTest} from './system_under_test.js';
import {countViolations} from './violations.js';
import {Workload} from './workload.js';

const SETTLE_MILLISECONDS = 500;
const RUN_MILLISECONDS = 2_500;
const WRITERS_PER_DATABASE = 2;
const READERS_PER_DATABASE = 6;
const READS_PER_WRITE = 2;
const WRITER_THINK_MILLISECONDS = 20;
const READER_THINK_MILLISECONDS = 2;
const READS_PER_SESSION = 200;
const RUNS = 3;
const TARGET_SHARE_PERCENT = 95;
const PERCENT = 100;

/** Share of reads served by replicas with one apply delay. */
export interface ReadShareReport {
  readonly figure: Figure;
  /** Number of violations of a guarantee that the callers observed. */
  readonly violations: number;
}

/**
 * Measures the share of reads that replicas serve while they apply the log
 * with a delay. Load pattern: readers in sessions of two hundred reads, beside
 * writers that read each row back at once through another proxy.
 */
export async function measureReadShare(
  system: SystemUnderTest,
  timer: TimerService,
  applyMilliseconds: number,
): Promise<ReadShareReport> {
  const recorder = FigureRecorder.create(
    `reads served by replicas, lag ${applyMilliseconds} ms`,
    '%',
    `>= ${TARGET_SHARE_PERCENT} %`,
  );
  await Promise.all(
    system.layout.members.map(member =>
      system.sendCommand(member.name, 'slow', {apply: applyMilliseconds}),
    ),
  );
  await timer.sleep(SETTLE_MILLISECONDS);
  let violations = 0;
  for (let run = 0; run < RUNS; run++) {
    const table = `lag_${applyMilliseconds}_${run}`;
    const before = await fetchCounts(system);
    violations += await runLoad(system, timer, table);
    const after = await fetchCounts(system);
    const replica = after.byReplica - before.byReplica;
    const all = replica + after.byPrimary - before.byPrimary;
    recorder.record((replica / Math.max(1, all)) * PERCENT);
  }
  return {
    figure: recorder.figure(({minimum}) => minimum >= TARGET_SHARE_PERCENT),
    violations,
  };
}

async function runLoad(
  system: SystemUnderTest,
  timer: TimerService,
  table: string,
): Promise<number> {
  const proxies = system.layout.machines.map(machine => machine.callerAddress);
  const loads = await Promise.all(
    system.layout.profile.databases.map(database =>
      Workload.start(
        {
          database,
          proxies,
          callers: WRITERS_PER_DATABASE,
          readsPerWrite: READS_PER_WRITE,
          thinkMilliseconds: WRITER_THINK_MILLISECONDS,
          timer,
        },
        table,
      ),
    ),
  );
  const readers = system.layout.profile.databases.map(database =>
    ReaderLoad.start({
      database,
      table,
      proxies,
      readers: READERS_PER_DATABASE,
      readsPerSession: READS_PER_SESSION,
      thinkMilliseconds: READER_THINK_MILLISECONDS,
      timer,
    }),
  );
  await timer.sleep(RUN_MILLISECONDS);
  await Promise.all(readers.map(load => load.finish()));
  const reports = await Promise.all(loads.map(load => load.finish()));
  return reports.reduce(
    (total, report) => total + countViolations(report.violations),
    0,
  );
}

function fetchCounts(system: SystemUnderTest) {
  return fetchReadCounts(
    system.layout.machines.map(machine =>
      formatAddress(machine.operatorAddress),
    ),
    system.operatorToken,
  );
}
