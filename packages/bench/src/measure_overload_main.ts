import hdr from 'hdr-histogram-js';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SystemTimerService, TimerService} from '@apricotlock/timer';
import {Caller} from './caller.js';
import {createLayout, PROFILES} from './layout.js';
import {SystemUnderTest} from './system_under_test.js';
import {retryUntilDone} from './workload.js';

const DATABASE = 'booking-ledger-1';
const STATEMENT_MILLISECONDS = 5;
const MILLISECONDS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Results of one arrival rate. */
interface OverloadRow {
  readonly offeredASecond: number;
  readonly sentASecond: number;
  readonly doneASecond: number;
  readonly doneMedianMilliseconds: number;
  readonly doneTailMilliseconds: number;
  readonly refusedASecond: number;
  readonly refusalMedianMilliseconds: number;
  readonly refusalTailMilliseconds: number;
}

/**
 * Open-loop load: writes arrive at a fixed rate, whether or not earlier writes
 * have been answered.
 */
class OpenLoopLoad {
  private readonly done = hdr.build();
  private readonly refused = hdr.build();
  private readonly idleCallers: Caller[] = [];
  private sent = 0;
  private nextId = 0;

  private constructor(
    private readonly system: SystemUnderTest,
    private readonly timer: TimerService,
  ) {}

  static create(system: SystemUnderTest, timer: TimerService): OpenLoopLoad {
    return new OpenLoopLoad(system, timer);
  }

  /** Sends writes at a rate for a time and returns their results. */
  async runAtRate(
    ratePerSecond: number,
    milliseconds: number,
  ): Promise<OverloadRow> {
    const {timer} = this;
    this.done.reset();
    this.refused.reset();
    this.sent = 0;
    const start = timer.now();
    const tasks: Array<Promise<void>> = [];
    for (;;) {
      const elapsed = timer.now() - start;
      if (elapsed >= milliseconds) break;
      const due = Math.floor(
        (elapsed * ratePerSecond) / MILLISECONDS_PER_SECOND,
      );
      while (this.sent < due) tasks.push(this.write());
      await timer.sleep(1);
    }
    await Promise.all(tasks);
    return this.buildRow(
      ratePerSecond,
      (timer.now() - start) / MILLISECONDS_PER_SECOND,
    );
  }

  async close(): Promise<void> {
    await Promise.all(this.idleCallers.map(caller => caller.close()));
  }

  private buildRow(offeredASecond: number, seconds: number): OverloadRow {
    const {done, refused} = this;
    return {
      offeredASecond,
      sentASecond: Math.round(this.sent / seconds),
      doneASecond: Math.round(done.totalCount / seconds),
      doneMedianMilliseconds: percentileMilliseconds(done, 50),
      doneTailMilliseconds: percentileMilliseconds(done, 99),
      refusedASecond: Math.round(refused.totalCount / seconds),
      refusalMedianMilliseconds: percentileMilliseconds(refused, 50),
      refusalTailMilliseconds: percentileMilliseconds(refused, 99),
    };
  }

  private async write(): Promise<void> {
    this.sent += 1;
    const {timer} = this;
    const caller = this.idleCallers.pop() ?? this.createCaller();
    const start = timer.now();
    const outcome = await caller.run(
      `INSERT INTO overload (id, holder) VALUES ('${this.nextId++}', 'x')`,
    );
    const microseconds = (timer.now() - start) * MICROSECONDS_PER_MILLISECOND;
    const histogram = outcome.kind === 'done' ? this.done : this.refused;
    histogram.recordValue(Math.max(1, Math.round(microseconds)));
    this.idleCallers.push(caller);
  }

  private createCaller(): Caller {
    const {machines} = this.system.layout;
    const {callerAddress} = this.system.machine(this.sent % machines.length);
    return Caller.create(DATABASE, DATABASE, callerAddress, this.timer);
  }
}

function percentileMilliseconds(
  histogram: hdr.Histogram,
  percentile: number,
): number {
  const microseconds = histogram.getValueAtPercentile(percentile);
  return Math.round(microseconds / MICROSECONDS_PER_MILLISECOND);
}

async function measure(): Promise<void> {
  const options = await yargs(hideBin(process.argv))
    .option('base-port', {type: 'number', default: 26_400})
    .option('rates', {
      type: 'number',
      array: true,
      default: [50, 100, 200, 400],
    })
    .option('queue-milliseconds', {type: 'number', default: 500})
    .option('seconds', {type: 'number', default: 5})
    .strict()
    .parse();
  const timer = SystemTimerService.create();
  const profile = {...PROFILES.bonanno, databases: [DATABASE]};
  const layout = createLayout(profile, options.basePort);
  const system = await SystemUnderTest.start(layout, timer);
  try {
    await prepare(system, timer, options.queueMilliseconds);
    const load = OpenLoopLoad.create(system, timer);
    const rows: OverloadRow[] = [];
    for (const rate of options.rates) {
      const milliseconds = options.seconds * MILLISECONDS_PER_SECOND;
      rows.push(await load.runAtRate(rate, milliseconds));
    }
    await load.close();
    console.table(rows);
  } finally {
    await system.stop();
  }
}

async function prepare(
  system: SystemUnderTest,
  timer: TimerService,
  queueMilliseconds: number,
): Promise<void> {
  const entries = system.catalogueEntries().map(entry => ({
    ...entry,
    limits: {...entry.limits, queueMilliseconds},
  }));
  await system.putFirstCatalogue(entries);
  await system.waitForDatabases();
  const {callerAddress} = system.machine(0);
  const caller = Caller.create(DATABASE, DATABASE, callerAddress, timer);
  await retryUntilDone(timer, () =>
    caller.run('CREATE TABLE overload (id text PRIMARY KEY, holder text)'),
  );
  await caller.close();
  for (const {name} of system.layout.members) {
    await system.sendCommand(name, 'slow', {statement: STATEMENT_MILLISECONDS});
  }
}

await measure();
