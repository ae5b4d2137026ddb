import {build, Histogram} from 'hdr-histogram-js';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {Caller, Outcome} from './caller.js';
import {Ledger} from './ledger.js';
import {NO_VIOLATIONS, Violations} from './violations.js';

const MICROSECONDS_A_MILLISECOND = 1_000;
const PAUSE_AFTER_REFUSAL_MILLISECONDS = 10;
const PARTS_A_TRANSACTION = 3;
/** One write in so many is a transaction, and one is keyed. */
const TURNS_A_ROUND = 4;
const SINGLE_TURN = 0;
const TRANSACTION_TURN = 1;
const KEYED_TURN = 2;

/** What a workload does. */
export interface WorkloadOptions {
  readonly database: string;
  /** Proxies among which sessions roam. */
  readonly proxies: readonly Address[];
  readonly callers: number;
  /** Reads after each write. */
  readonly readsAWrite: number;
  /** A pause of each caller after each statement, in milliseconds. */
  readonly thinkMilliseconds: number;
  /** Whether some writes are transactions of several rows. */
  readonly transactions?: boolean;
  /** Whether some writes are keyed, and sent until they are known to be done. */
  readonly keyed?: boolean;
  readonly timer: TimerService;
}

/** What a workload has seen. */
export interface WorkloadReport {
  readonly statements: number;
  readonly reads: number;
  readonly writes: number;
  readonly unknown: number;
  readonly longestWriteGapMilliseconds: number;
  readonly violations: Violations;
}

/** Callers that write unique rows and read them back through other proxies. */
export class Workload {
  readonly latency: Histogram = build({useWebAssembly: false});
  private readonly ledger = Ledger.create();
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

  /** Makes the workload's table and sets its callers going. */
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

  /** The longest time up to now in which no write was acknowledged. */
  get longestWriteGapMilliseconds(): number {
    const open = this.options.timer.now() - this.lastWriteAt;
    return Math.max(this.longestGap, open);
  }

  /** Begins to look for the longest gap anew. */
  forgetGaps(): void {
    this.longestGap = 0;
  }

  /** Stops the callers and compares what they were told with the data. */
  async finish(): Promise<WorkloadReport> {
    const longestWriteGapMilliseconds = this.longestWriteGapMilliseconds;
    this.stopped = true;
    await Promise.all(this.tasks);
    const found = await this.allRows();
    return {
      statements: this.reads + this.writes,
      reads: this.reads,
      writes: this.writes,
      unknown: this.ledger.unknownCount,
      longestWriteGapMilliseconds,
      violations: {
        ...this.ledger.check(found),
        readYourWrites: this.violations.readYourWrites,
        wrongAnswer: this.violations.wrongAnswer,
      },
    };
  }

  private async createTable(): Promise<void> {
    const caller = this.caller(0);
    for (const text of [
      `CREATE TABLE IF NOT EXISTS ${this.table} ` +
        '(id text PRIMARY KEY, holder text)',
      `CREATE TABLE IF NOT EXISTS ${this.table}_parts ` +
        '(id text, part integer, parts integer)',
    ]) {
      await untilDone(this.options.timer, () => caller.run(text));
    }
    await caller.close();
  }

  private async allRows() {
    const caller = this.caller(0);
    const rows = await untilDone(this.options.timer, () =>
      caller.run(`SELECT id FROM ${this.table} FOR UPDATE`),
    );
    const parts = await untilDone(this.options.timer, () =>
      caller.run(`SELECT id, parts FROM ${this.table}_parts FOR UPDATE`),
    );
    await caller.close();
    return [...rows, ...parts];
  }

  private async runCaller(index: number): Promise<void> {
    const caller = this.caller(index);
    for (let turn = 0; !this.stopped; turn++) {
      const id = `${index}-${turn}`;
      const kind = this.kindOf(turn);
      const outcome = await this.write(caller, id, kind);
      if (outcome === 'done' && kind === SINGLE_TURN) {
        await caller.roam(this.proxy(index + turn + 1));
        await this.readBack(caller, id);
      } else if (outcome !== 'done') {
        await this.options.timer.sleep(PAUSE_AFTER_REFUSAL_MILLISECONDS);
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
    this.ledger.note(id, outcome.kind);
    if (outcome.kind !== 'done') return outcome.kind;
    this.writes += 1;
    const now = timer.now();
    this.record(now - start);
    this.longestGap = Math.max(this.longestGap, now - this.lastWriteAt);
    this.lastWriteAt = now;
    await this.think();
    return outcome.kind;
  }

  private kindOf(turn: number): number {
    const kind = turn % TURNS_A_ROUND;
    const {transactions = false, keyed = false} = this.options;
    if (kind === TRANSACTION_TURN && transactions) return kind;
    if (kind === KEYED_TURN && keyed) return kind;
    return SINGLE_TURN;
  }

  private send(caller: Caller, id: string, kind: number): Promise<Outcome> {
    if (kind === TRANSACTION_TURN) return this.sendTransaction(caller, id);
    if (kind === KEYED_TURN) return this.sendKeyed(caller, id);
    return caller.run(
      `INSERT INTO ${this.table} (id, holder) VALUES ($1, $2)`,
      [id, 'a family'],
    );
  }

  private sendTransaction(caller: Caller, id: string): Promise<Outcome> {
    const parts = Array.from(
      {length: PARTS_A_TRANSACTION},
      (_, part) => [this.partText, [id, part, PARTS_A_TRANSACTION]] as const,
    );
    return caller.transaction(parts);
  }

  /** Sends a write with a key until its outcome is known to be done. */
  private async sendKeyed(caller: Caller, id: string): Promise<Outcome> {
    const {timer} = this.options;
    for (let attempt = 0; ; attempt++) {
      const outcome = await caller.runKeyed(`${this.table}-${id}`, [
        this.partText,
        [id, 0, 1],
      ]);
      if (outcome.kind === 'done') return outcome;
      await timer.sleep(PAUSE_AFTER_REFUSAL_MILLISECONDS);
      await caller.roam(this.proxy(attempt));
    }
  }

  private get partText(): string {
    return `INSERT INTO ${this.table}_parts (id, part, parts) VALUES ($1, $2, $3)`;
  }

  private async readBack(caller: Caller, id: string): Promise<void> {
    const {timer, readsAWrite} = this.options;
    for (let count = 0; count < readsAWrite && !this.stopped; count++) {
      const start = timer.now();
      const outcome = await caller.run(
        `SELECT id, holder FROM ${this.table} WHERE id = $1`,
        [id],
      );
      if (outcome.kind !== 'done') continue;
      this.reads += 1;
      this.record(timer.now() - start);
      this.judge(outcome.rows, id);
      await this.think();
    }
  }

  private judge(
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

  private record(milliseconds: number): void {
    const microseconds = Math.round(milliseconds * MICROSECONDS_A_MILLISECOND);
    this.latency.recordValue(Math.max(1, microseconds));
  }

  private async think(): Promise<void> {
    const {timer, thinkMilliseconds} = this.options;
    if (thinkMilliseconds > 0) await timer.sleep(thinkMilliseconds);
  }

  private caller(index: number): Caller {
    const {database, timer} = this.options;
    return Caller.create(database, database, this.proxy(index), timer);
  }

  private proxy(index: number): Address {
    const {proxies} = this.options;
    return proxies[index % proxies.length] as Address;
  }
}

/** Repeats a statement that may be repeated, until it is done. */
export async function untilDone(
  timer: TimerService,
  run: () => Promise<Outcome>,
): Promise<ReadonlyArray<Readonly<Record<string, unknown>>>> {
  for (;;) {
    const outcome = await run();
    if (outcome.kind === 'done') return outcome.rows;
    await timer.sleep(PAUSE_AFTER_REFUSAL_MILLISECONDS);
  }
}
