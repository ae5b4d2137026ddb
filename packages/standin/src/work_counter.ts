import {Deferred} from '@apricotlock/flow';

/** Counts of a member's connections and statements, for tests to read. */
export interface WorkCounts {
  readonly connections: number;
  readonly maximumConnections: number;
  readonly refusedConnections: number;
  readonly running: number;
  readonly maximumRunning: number;
  readonly statements: number;
}

/** Limits and counts the connections and running statements of a member. */
export class WorkCounter {
  private counts: WorkCounts = {
    connections: 0,
    maximumConnections: 0,
    refusedConnections: 0,
    running: 0,
    maximumRunning: 0,
    statements: 0,
  };
  private occupiedSlots = 0;
  private waiters: ReadonlyArray<Deferred<void>> = [];

  private constructor(
    private readonly connectionLimit: number,
    private readonly slots: number,
  ) {}

  /** Creates a counter with these limits. */
  static create(connectionLimit: number, slots: number): WorkCounter {
    return new WorkCounter(connectionLimit, slots);
  }

  /** The counts up to now. */
  get current(): WorkCounts {
    return this.counts;
  }

  /** Counts a new connection. Returns `false` if the limit is reached. */
  tryAddConnection(): boolean {
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

  /** Removes a closed connection from the count. */
  removeConnection(): void {
    const {counts} = this;
    this.counts = {...counts, connections: counts.connections - 1};
  }

  /** Runs `work` once a slot is free; `running` includes waiting statements. */
  async run<T>(work: () => Promise<T>): Promise<T> {
    const running = this.counts.running + 1;
    const maximumRunning = Math.max(this.counts.maximumRunning, running);
    const statements = this.counts.statements + 1;
    this.counts = {...this.counts, running, maximumRunning, statements};
    await this.acquireSlot();
    try {
      return await work();
    } finally {
      this.counts = {...this.counts, running: this.counts.running - 1};
      this.releaseSlot();
    }
  }

  private async acquireSlot(): Promise<void> {
    if (this.occupiedSlots < this.slots) {
      this.occupiedSlots += 1;
      return;
    }
    const slotGranted = Deferred.create<void>();
    this.waiters = [...this.waiters, slotGranted];
    await slotGranted.promise;
  }

  private releaseSlot(): void {
    const [nextWaiter, ...remaining] = this.waiters;
    if (nextWaiter === undefined) {
      this.occupiedSlots -= 1;
      return;
    }
    this.waiters = remaining;
    nextWaiter.resolve();
  }
}
