import {Deferred} from '@apricotlock/flow';

/** What a member's sessions did at most, for tests to read. */
export interface WorkCounts {
  readonly connections: number;
  readonly maximumConnections: number;
  readonly refusedConnections: number;
  readonly running: number;
  readonly maximumRunning: number;
  readonly statements: number;
}

/** Lets `slots` statements run at once and counts connections. */
export class WorkCounter {
  private counts: WorkCounts = {
    connections: 0,
    maximumConnections: 0,
    refusedConnections: 0,
    running: 0,
    maximumRunning: 0,
    statements: 0,
  };
  private active = 0;
  private waiting: ReadonlyArray<Deferred<void>> = [];

  private constructor(
    private readonly connectionLimit: number,
    private readonly slots: number,
  ) {}

  /** A counter with these limits. */
  static create(connectionLimit: number, slots: number): WorkCounter {
    return new WorkCounter(connectionLimit, slots);
  }

  /** The counts up to now. */
  get current(): WorkCounts {
    return this.counts;
  }

  /** Counts a new connection; `false` if there are too many. */
  connected(): boolean {
    const {counts} = this;
    if (counts.connections >= this.connectionLimit) {
      const refusedConnections = counts.refusedConnections + 1;
      this.counts = {...counts, refusedConnections};
      return false;
    }
    const connections = counts.connections + 1;
    const maximumConnections = Math.max(counts.maximumConnections, connections);
    this.counts = {...counts, connections, maximumConnections};
    return true;
  }

  /** Counts a connection that has ended. */
  disconnected(): void {
    const {counts} = this;
    this.counts = {...counts, connections: counts.connections - 1};
  }

  /** Runs `work` once a slot is free; `running` counts the waiting too. */
  async run<T>(work: () => Promise<T>): Promise<T> {
    const running = this.counts.running + 1;
    const maximumRunning = Math.max(this.counts.maximumRunning, running);
    const statements = this.counts.statements + 1;
    this.counts = {...this.counts, running, maximumRunning, statements};
    await this.slot();
    try {
      return await work();
    } finally {
      this.counts = {...this.counts, running: this.counts.running - 1};
      this.free();
    }
  }

  private async slot(): Promise<void> {
    if (this.active < this.slots) {
      this.active += 1;
      return;
    }
    const turn = Deferred.create<void>();
    this.waiting = [...this.waiting, turn];
    await turn.promise;
  }

  private free(): void {
    const [next, ...rest] = this.waiting;
    if (next === undefined) {
      this.active -= 1;
      return;
    }
    this.waiting = rest;
    next.resolve();
  }
}
