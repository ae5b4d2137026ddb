import hdr from 'hdr-histogram-js';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SystemTimerService, TimerService} from '@apricotlock/timer';
import {CatalogueEntry} from '@apricotlock/topology';
import {Caller} from './caller.js';
import {createLayout, PROFILES} from './layout.js';
import {SystemUnderTest} from './system_under_test.js';
import {retryUntilDone} from './workload.js';

const DATABASE = 'booking-ledger-1';
const STATEMENT_MILLISECONDS = 5;
const QUIET_SESSIONS = 10;
const QUIET_THINK_MILLISECONDS = 100;
const PAUSE_AFTER_FAILURE_MILLISECONDS = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/** Throughput and latency of the sessions of one catalogue entry. */
interface EntryShare {
  readonly entry: string;
  readonly doneASecond: number;
  readonly medianMilliseconds: number;
  readonly tailMilliseconds: number;
  readonly refusedASecond: number;
  readonly refusalMedianMilliseconds: number;
}

/** Runs callers of one catalogue entry that write until stopped. */
class EntryLoad {
  private readonly done = hdr.build();
  private readonly refused = hdr.build();
  private stopped = false;
  private tasks: ReadonlyArray<Promise<void>> = [];
  private nextId = 0;

  private constructor(
    private readonly entry: string,
    private readonly system: SystemUnderTest,
    private readonly thinkMilliseconds: number,
    private readonly timer: TimerService,
  ) {}

  static start(
    entry: string,
    system: SystemUnderTest,
    sessions: number,
    thinkMilliseconds: number,
    timer: TimerService,
  ): EntryLoad {
    const load = new EntryLoad(entry, system, thinkMilliseconds, timer);
    load.tasks = Array.from({length: sessions}, (_, index) => load.run(index));
    return load;
  }

  /** Discards the latencies recorded so far. */
  reset(): void {
    this.done.reset();
    this.refused.reset();
  }

  summarize(milliseconds: number): EntryShare {
    const {done, refused} = this;
    const seconds = milliseconds / MILLISECONDS_PER_SECOND;
    return {
      entry: this.entry,
      doneASecond: Math.round(done.totalCount / seconds),
      medianMilliseconds: done.getValueAtPercentile(50),
      tailMilliseconds: done.getValueAtPercentile(99),
      refusedASecond: Math.round(refused.totalCount / seconds),
      refusalMedianMilliseconds: refused.getValueAtPercentile(50),
    };
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.tasks);
  }

  private async run(index: number): Promise<void> {
    const {entry, system, timer} = this;
    const {machines} = system.layout;
    const {callerAddress} = system.machine(index % machines.length);
    const caller = Caller.create(entry, DATABASE, callerAddress, timer);
    // Staggers the callers, so that they do not connect at the same moment.
    await timer.sleep(index);
    while (!this.stopped) {
      const start = timer.now();
      const id = `${entry}-${this.nextId++}`;
      const outcome = await caller.run(
        `INSERT INTO fairness (id, holder) VALUES ('${id}', 'a family')`,
      );
      const elapsed = Math.max(1, Math.round(timer.now() - start));
      const done = outcome.kind === 'done';
      (done ? this.done : this.refused).recordValue(elapsed);
      const pause = done
        ? this.thinkMilliseconds
        : PAUSE_AFTER_FAILURE_MILLISECONDS;
      if (pause > 0) await timer.sleep(pause);
    }
    await caller.close();
  }
}

function catalogueEntry(name: string, queueMilliseconds: number) {
  const entry: CatalogueEntry = {
    name,
    owner: 'bench',
    class: 'standard',
    database: DATABASE,
    members: 3,
    limits: {connections: 16, slots: 2, queueLength: 2_000, queueMilliseconds},
  };
  return entry;
}

async function measure(): Promise<void> {
  const options = await yargs(hideBin(process.argv))
    .option('base-port', {type: 'number', default: 26_000})
    .option('greedy-sessions', {type: 'number', default: 990})
    .option('queue-milliseconds', {type: 'number', default: 5_000})
    .option('seconds', {type: 'number', default: 8})
    .strict()
    .parse();
  const timer = SystemTimerService.create();
  const profile = {...PROFILES.bonanno, databases: [DATABASE]};
  const layout = createLayout(profile, options.basePort);
  const system = await SystemUnderTest.start(layout, timer);
  try {
    const entries = ['quiet', 'greedy'].map(name =>
      catalogueEntry(name, options.queueMilliseconds),
    );
    await system.putFirstCatalogue(entries);
    await system.waitForDatabases();
    await createTable(system, timer);
    for (const {name} of system.layout.members) {
      await system.sendCommand(name, 'slow', {
        statement: STATEMENT_MILLISECONDS,
      });
    }
    const shares = await measureShares(system, timer, options);
    console.table(shares);
    console.table(await fetchCounts(system));
  } finally {
    await system.stop();
  }
}

async function createTable(
  system: SystemUnderTest,
  timer: TimerService,
): Promise<void> {
  const {callerAddress} = system.machine(0);
  const caller = Caller.create('quiet', DATABASE, callerAddress, timer);
  await retryUntilDone(timer, () =>
    caller.run('CREATE TABLE fairness (id text PRIMARY KEY, holder text)'),
  );
  await caller.close();
}

async function measureShares(
  system: SystemUnderTest,
  timer: TimerService,
  options: {readonly greedySessions: number; readonly seconds: number},
): Promise<readonly EntryShare[]> {
  const think = QUIET_THINK_MILLISECONDS;
  const loads = [
    EntryLoad.start('quiet', system, QUIET_SESSIONS, think, timer),
    EntryLoad.start('greedy', system, options.greedySessions, 0, timer),
  ];
  const milliseconds = options.seconds * MILLISECONDS_PER_SECOND;
  await timer.sleep(milliseconds / 2);
  loads.forEach(load => load.reset());
  await timer.sleep(milliseconds);
  const shares = loads.map(load => load.summarize(milliseconds));
  await Promise.all(loads.map(load => load.stop()));
  return shares;
}

/** Returns each member's counts of connections and statements. */
async function fetchCounts(
  system: SystemUnderTest,
): Promise<readonly object[]> {
  return Promise.all(
    system.layout.members.map(async ({name, commandAddress}) => {
      const {host, port} = commandAddress;
      const answer = await fetch(`http://${host}:${port}/state`);
      const {counts} = (await answer.json()) as {readonly counts: object};
      return {name, ...counts};
    }),
  );
}

await measure();
