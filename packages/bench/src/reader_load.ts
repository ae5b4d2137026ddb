import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {Caller} from './caller.js';

const PAUSE_AFTER_FAILURE_MILLISECONDS = 10;

/** Options of {@link ReaderLoad}. */
export interface ReaderLoadOptions {
  readonly database: string;
  readonly table: string;
  readonly proxies: readonly Address[];
  readonly readers: number;
  /** Number of reads before a reader starts a new session without a token. */
  readonly readsPerSession: number;
  readonly thinkMilliseconds: number;
  readonly timer: TimerService;
}

/** Runs callers that only read. */
export class ReaderLoad {
  private stopped = false;
  private readonly tasks: ReadonlyArray<Promise<void>>;

  private constructor(private readonly options: ReaderLoadOptions) {
    this.tasks = Array.from({length: options.readers}, (_, index) =>
      this.runReader(index),
    );
  }

  /** Starts the readers. */
  static start(options: ReaderLoadOptions): ReaderLoad {
    return new ReaderLoad(options);
  }

  /** Stops the readers and waits until they have closed their sessions. */
  async finish(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.tasks);
  }

  private async runReader(index: number): Promise<void> {
    for (let session = 0; !this.stopped; session++) {
      await this.runSession(index + session);
    }
  }

  private async runSession(sessionIndex: number): Promise<void> {
    const {database, proxies, table, timer} = this.options;
    const proxy = proxies[sessionIndex % proxies.length] as Address;
    const caller = Caller.create(database, database, proxy, timer);
    for (let read = 0; read < this.options.readsPerSession; read++) {
      if (this.stopped) break;
      const outcome = await caller.run(
        `SELECT id, holder FROM ${table} WHERE id = $1`,
        [`0-${read}`],
      );
      const failed = outcome.kind !== 'done';
      const pause = failed
        ? PAUSE_AFTER_FAILURE_MILLISECONDS
        : this.options.thinkMilliseconds;
      await timer.sleep(pause);
    }
    await caller.close();
  }
}
