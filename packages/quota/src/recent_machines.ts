/** A VM counts for this long after its last request. */
const RETENTION_MILLISECONDS = 10_000;

/**
 * The VMs that requested operations of one organisation recently. A VM that is
 * short of operations can expect one in as many as there are such VMs. Counting
 * only those that are short stated times that were too early, because an
 * overload reaches some VMs later than others.
 *
 * Load: one call of `record` for each organisation in a grant request.
 */
export class RecentMachines {
  /** By VM, when it last requested; the longest ago at the beginning. */
  private readonly requestedAt = new Map<string, number>();

  private constructor() {}

  /** Creates an empty list. */
  static create(): RecentMachines {
    return new RecentMachines();
  }

  /** Returns how many VMs are in the list. */
  get count(): number {
    return this.requestedAt.size;
  }

  /** Records a request. */
  record(machine: string, now: number): void {
    this.requestedAt.delete(machine);
    this.requestedAt.set(machine, now);
    for (const [other, requestedAt] of this.requestedAt) {
      if (now - requestedAt <= RETENTION_MILLISECONDS) return;
      this.requestedAt.delete(other);
    }
  }
}
