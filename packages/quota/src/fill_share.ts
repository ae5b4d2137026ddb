import {VirtualMachine} from '@apricotlock/topology';

/** A lost VM reduces the share for this long. */
const MISSED_MILLISECONDS = 10_000;
/**
 * A lost VM is remembered for this long, because it may have been wrongly
 * declared dead and still grant.
 */
const REMEMBERED_MILLISECONDS = 60_000;
/**
 * A VM that was lost counts as seen only this long after it is seen again.
 * Until then the other side of a healed partition may still fill, without
 * knowing it.
 */
const RETURN_MILLISECONDS = 1_000;

interface LostMachine {
  readonly machine: VirtualMachine;
  readonly lostAt: number;
  readonly seenAgainAt?: number | undefined;
}

/**
 * The share of the rate at which this VM fills buckets: the VMs that it sees,
 * of those that it knew within the last 10 s. The two sides of a network
 * partition thereby fill at no more than the rate together.
 *
 * Load: `update` for each change of the list of VMs, `current` for each grant
 * request; the cost is proportional to the VMs that were lost recently.
 */
export class FillShare {
  private seen: ReadonlyMap<string, VirtualMachine> = new Map();
  private readonly lost = new Map<string, LostMachine>();

  private constructor() {}

  /** Creates a share that knows no VM. */
  static create(): FillShare {
    return new FillShare();
  }

  /** Records the VMs that are seen from now on; returns those that are new. */
  update(
    machines: readonly VirtualMachine[],
    now: number,
  ): readonly VirtualMachine[] {
    const seen = new Map(machines.map(machine => [machine.name, machine]));
    const added = machines.filter(({name}) => !this.seen.has(name));
    for (const [name, machine] of this.seen) {
      if (seen.has(name)) continue;
      this.lost.set(name, {machine, lostAt: now});
    }
    for (const [name, lost] of this.lost) {
      const seenAgainAt = lost.seenAgainAt ?? now;
      if (seen.has(name)) this.lost.set(name, {...lost, seenAgainAt});
    }
    this.seen = seen;
    return added;
  }

  /** Returns the share, between 0 and 1. */
  current(now: number): number {
    let missed = 0;
    let returning = 0;
    for (const [name, {lostAt, seenAgainAt}] of this.lost) {
      if (seenAgainAt === undefined) {
        if (now - lostAt < MISSED_MILLISECONDS) missed++;
        if (now - lostAt >= REMEMBERED_MILLISECONDS) this.lost.delete(name);
      } else if (now - seenAgainAt < RETURN_MILLISECONDS) {
        returning++;
      } else {
        this.lost.delete(name);
      }
    }
    if (this.seen.size === 0) return 0;
    return (this.seen.size - returning) / (this.seen.size + missed);
  }

  /** Whether a VM was lost and is not seen again. */
  get isIncomplete(): boolean {
    return this.lost.size > 0;
  }

  /** Returns the VMs that are seen or were lost recently. */
  known(): readonly VirtualMachine[] {
    const lost = [...this.lost.values()].map(
      ({machine}) => [machine.name, machine] as const,
    );
    return [...new Map([...lost, ...this.seen]).values()];
  }
}
