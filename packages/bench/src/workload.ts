import {build, Histogram} from 'hdr-histogram-js';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {Caller, Outcome} from './caller.js';
import {WriteHistory} from './write_history.js';
import {NO_VIOLATIONS, Violations} from './violations.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const PAUSE_AFTER_FAILURE_MILLISECONDS = 10;
const PARTS_PER_TRANSACTION = 3;
/**
 * Length of the cycle of write kinds. Of this many consecutive writes of a
 * caller, at most one is a transaction and at most one has an idempotency key.
 */
const WRITE_CYCLE_LENGTH = 4;
const SINGLE_ROW_WRITE = 0;
const TRANSACTION_WRITE = 1;
const KEYED_WRITE = 2;

/** Options of {@link Workload}. */
export interface WorkloadOptions {
  readonly database: string;
  /** Caller addresses of the entry VMs that sessions move between. */
  readonly proxies: readonly Address[];
  readonly callers: number;
  /** Number of reads of a row after it was written. */
  readonly readsPerWrite: number;
  /** Pause of each caller after each statement, in milliseconds. */
  readonly thinkMilliseconds: number;
  /** Whether some writes are transactions that insert several rows. */
  readonly transactions?: boolean;
  /**
   * Whether some writes have an idempotency key and are resent until they are
   * acknowledged.
   */
  readonly keyed?: boolean;
  readonly timer: TimerService;
}

/** Counts and violations that a workload observed. */
export interface WorkloadReport {
  readonly statements: number;
  readonly reads: number;
  readonly writes: number;
  readonly unknown: number;
  readonly longestWriteGapMilliseconds: number;
  readonly violations: Violations;
}

/**
 * Runs callers that insert unique rows and read them back through other
 * proxies, and counts violated guarantees.
 */
export class Workload {
  readonly latency: Histogram = build({useWebAssembly: false});
  private readonly history = WriteHistory.create();
  private violations: Violations = NO_VIOLATIONS;
  private reads = 0;
  private writes = 0;
  private stopped = false;
  private lastWriteAt: number;
  private longestGap = 0;
  private tasks: ReadonlyArray<Promise<void>> = [];

  private constructor(
    private readonly options: WorkloadOptions,
    readonly table: string,
  ) {
    this.lastWriteAt = options.timer.now();
  }

  /** Creates the workload's tables and starts its callers. */
  static async start(
    options: WorkloadOptions,
    table: string,
  ): Promise<Workload> {
    const workload = new Workload(options, table);
    await workload.createTable();
    workload.tasks = Array.from({length: options.callers}, (_, index) =>
      workload.runCaller(index),
    );
    return workload;
  }

  /**
   * Returns the longest period without an acknowledged write, in milliseconds.
   * The period since the last acknowledged write counts too.
   */
  get longestWriteGapMilliseconds(): number {
    const currentGap = this.options.timer.now() - this.lastWriteAt;
    return Math.max(this.longestGap, currentGap);
  }

  /** Discards the longest gap between acknowledged writes seen so far. */
  resetLongestWriteGap(): void {
    this.longestGap = 0;
  }

  /**
   * Stops the callers and checks the outcomes reported to them against the
   * rows in the database.
   */
  async finish(): Promise<WorkloadReport> {
    const longestWriteGapMilliseconds = this.longestWriteGapMilliseconds;
    this.stopped = true;
    await Promise.all(this.tasks);
    const found = await this.readAllRows();
    return {
      statements: this.reads + this.writes,
      reads: this.reads,
      writes: this.writes,
      unknown: this.history.unknownCount,
      longestWriteGapMilliseconds,
      violations: {
        ...this.history.check(found),
        readYourWrites: this.violations.readYourWrites,
        wrongAnswer: this.violations.wrongAnswer,
      },
    };
  }

  private async createTable(): Promise<void> {
    const caller = this.createCaller(0);
    for (const text of [
      `CREATE TABLE IF NOT EXISTS ${this.table} ` +
        '(id text PRIMARY KEY, holder text)',
      `CREATE TABLE IF NOT EXISTS ${this.table}_parts ` +
        '(id text, part integer, parts integer)',
    ]) {
      await retryUntilDone(this.options.timer, () => caller.run(text));
    }
    await caller.close();
  }

  private async readAllRows() {
    const caller = this.createCaller(0);
    const rows = await retryUntilDone(this.options.timer, () =>
      caller.run(`SELECT id FROM ${this.table} FOR UPDATE`),
    );
    const parts = await retryUntilDone(this.options.timer, () =>
      caller.run(`SELECT id, parts FROM ${this.table}_parts FOR UPDATE`),
    );
    await caller.close();
    return [...rows, ...parts];
  }

  private async runCaller(index: number): Promise<void> {
    const caller = this.createCaller(index);
    for (let iteration = 0; !this.stopped; iteration++) {
      const id = `${index}-${iteration}`;
      const kind = this.writeKindAt(iteration);
      const outcome = await this.write(caller, id, kind);
      if (outcome === 'done' && kind === SINGLE_ROW_WRITE) {
        await caller.moveTo(this.proxyAt(index + iteration + 1));
        await this.readBack(caller, id);
      } else if (outcome !== 'done') {
        await this.options.timer.sleep(PAUSE_AFTER_FAILURE_MILLISECONDS);
      }
    }
    await caller.close();
  }

  private async write(
    caller: Caller,
    id: string,
    kind: number,
  ): Promise<Outcome['kind']> {
    const {timer} = this.options;
    const start = timer.now();
    const outcome = await this.send(caller, id, kind);
    this.history.record(id, outcome.kind);
    if (outcome.kind !== 'done') return outcome.kind;
    this.writes += 1;
    const now = timer.now();
    this.recordLatency(now - start);
    this.longestGap = Math.max(this.longestGap, now - this.lastWriteAt);
    this.lastWriteAt = now;
    await this.think();
    return outcome.kind;
  }

  private writeKindAt(iteration: number): number {
    const kind = iteration % WRITE_CYCLE_LENGTH;
    const {transactions = false, keyed = false} = this.options;
    if (kind === TRANSACTION_WRITE && transactions) return kind;
    if (kind === KEYED_WRITE && keyed) return kind;
    return SINGLE_ROW_WRITE;
  }

  private send(caller: Caller, id: string, kind: number): Promise<Outcome> {
    if (kind === TRANSACTION_WRITE) return this.sendTransaction(caller, id);
    if (kind === KEYED_WRITE) return this.sendKeyed(caller, id);
    return caller.run(
      `INSERT INTO ${this.table} (id, holder) VALUES ($1, $2)`,
      [id, 'a family'],
    );
  }

  private sendTransaction(caller: Caller, id: string): Promise<Outcome> {
    const parts = Array.from(
      {length: PARTS_PER_TRANSACTION},
      (_, part) =>
        [this.insertPartText, [id, part, PARTS_PER_TRANSACTION]] as const,
    );
    return caller.runTransaction(parts);
  }

  /** Resends a write with an idempotency key until it is acknowledged. */
  private async sendKeyed(caller: Caller, id: string): Promise<Outcome> {
    const {timer} = this.options;
    for (let attempt = 0; ; attempt++) {
      const outcome = await caller.runKeyed(`${this.table}-${id}`, [
        this.insertPartText,
        [id, 0, 1],
      ]);
      if (outcome.kind === 'done') return outcome;
      await timer.sleep(PAUSE_AFTER_FAILURE_MILLISECONDS);
      await caller.moveTo(this.proxyAt(attempt));
    }
  }

  private get insertPartText(): string {
    return `INSERT INTO ${this.table}_parts (id, part, parts) VALUES ($1, $2, $3)`;
  }

  private async readBack(caller: Caller, id: string): Promise<void> {
    const {timer, readsPerWrite} = this.options;
    for (let count = 0; count < readsPerWrite && !this.stopped; count++) {
      const start = timer.now();
      const outcome = await caller.run(
        `SELECT id, holder FROM ${this.table} WHERE id = $1`,
        [id],
      );
      if (outcome.kind !== 'done') continue;
      this.reads += 1;
      this.recordLatency(timer.now() - start);
      this.checkReadBack(outcome.rows, id);
      await this.think();
    }
  }

  private checkReadBack(
    rows: ReadonlyArray<Readonly<Record<string, unknown>>>,
    id: string,
  ) {
    const [row] = rows;
    if (row === undefined) {
      const readYourWrites = this.violations.readYourWrites + 1;
      this.violations = {...this.violations, readYourWrites};
    } else if (row['id'] !== id) {
      const wrongAnswer = this.violations.wrongAnswer + 1;
      this.violations = {...this.violations, wrongAnswer};
    }
  }

  private recordLatency(milliseconds: number): void {
    const microseconds = Math.round(
      milliseconds * MICROSECONDS_PER_MILLISECOND,
    );
    this.latency.recordValue(Math.max(1, microseconds));
  }

  private async think(): Promise<void> {
    const {timer, thinkMilliseconds} = this.options;
    if (thinkMilliseconds > 0) await timer.sleep(thinkMilliseconds);
  }

  private createCaller(index: number): Caller {
    const {database, timer} = this.options;
    return Caller.create(database, database, this.proxyAt(index), timer);
  }

  private proxyAt(index: number): Address {
    const {proxies} = this.options;
    return proxies[index % proxies.length] as Address;
  }
}

/**
 * Runs an idempotent statement until it is acknowledged, and returns its rows.
 * Retries without a limit.
 */
export async function retryUntilDone(
  timer: TimerService,
  runStatement: () => Promise<Outcome>,
): Promise<ReadonlyArray<Readonly<Record<string, unknown>>>> {
  for (;;) {
    const outcome = await runStatement();
    if (outcome.kind === 'done') return outcome.rows;
    await timer.sleep(PAUSE_AFTER_FAILURE_MILLISECONDS);
  }
}
