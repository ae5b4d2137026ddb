/** A VM that has not requested for this long no longer counts. */
const RETENTION_MILLISECONDS = 2_000;

/**
 * The VMs that received fewer operations of one organisation than they wanted,
 * in the order in which they began to.
 *
 * Load: one call of `place` for each request that is not granted in full.
 */
export class ShortMachines {
  /** By VM, when it last requested. */
  private readonly requestedAt = new Map<string, number>();

  private constructor() {}

  /** Creates an empty list. */
  static create(): ShortMachines {
    return new ShortMachines();
  }

  /** Adds a VM, and returns how many are ahead of it. */
  place(machine: string, now: number): number {
    this.requestedAt.set(machine, now);
    let ahead = 0;
    let position = 0;
    for (const [other, requestedAt] of this.requestedAt) {
      if (now - requestedAt > RETENTION_MILLISECONDS) {
        this.requestedAt.delete(other);
      } else if (other === machine) {
        ahead = position;
      } else {
        position++;
      }
    }
    return ahead;
  }

  /** Removes a VM, because it was granted an operation. */
  remove(machine: string): void {
    this.requestedAt.delete(machine);
  }
}
