import {GRANT_VALIDITY_MILLISECONDS} from './quota_limits.js';

/** What a VM reports about its granted operations with a request. */
export interface HoldingReport {
  readonly machine: string;
  /** Increases with each request of the VM for the organisation. */
  readonly sequence: number;
  /** Whether an earlier request is unanswered, and may still be answered. */
  readonly isRetry: boolean;
  /** Granted operations that the VM holds. */
  readonly held: number;
  /** Granted operations that expired unused and were not reported before. */
  readonly returned: number;
}

interface Holding {
  readonly sequence: number;
  readonly amount: number;
  readonly expiresAt: number;
}

/**
 * The granted operations of one organisation that VMs may still use: an upper
 * bound, since a VM reports what it has used only with its next request.
 *
 * Load: two updates for each organisation in a grant request. Holds one entry
 * for each VM that requested within the validity of a grant.
 */
export class Holdings {
  /** By VM, those that expire first at the beginning. */
  private readonly holdings = new Map<string, Holding>();
  private sum = 0;

  private constructor() {}

  /** Creates holdings without any granted operation. */
  static create(): Holdings {
    return new Holdings();
  }

  /** The granted operations that may still be used, over all VMs. */
  get total(): number {
    return this.sum;
  }

  /** Removes the holdings that have expired. */
  expire(now: number): void {
    for (const [machine, {amount, expiresAt}] of this.holdings) {
      if (expiresAt > now) return;
      this.holdings.delete(machine);
      this.sum -= amount;
    }
  }

  /**
   * Replaces what a VM holds by its report. Returns the unused operations that
   * may be put back into the bucket, which are never more than the holding
   * shrinks by. A report that does not know of an earlier grant changes
   * nothing.
   */
  report(report: HoldingReport, now: number): number {
    const {machine, sequence, isRetry, held, returned} = report;
    const known = this.holdings.get(machine);
    if (known === undefined) {
      this.set(machine, sequence, held, now);
      return 0;
    }
    if (isRetry || sequence <= known.sequence) return 0;
    this.set(machine, sequence, held, now);
    return Math.max(0, Math.min(returned, known.amount - held));
  }

  /** Adds operations that are granted to a VM which has just reported. */
  add({machine, sequence}: HoldingReport, granted: number, now: number): void {
    const known = this.holdings.get(machine);
    const newest = Math.max(sequence, known?.sequence ?? 0);
    this.set(machine, newest, (known?.amount ?? 0) + granted, now);
  }

  private set(
    machine: string,
    sequence: number,
    amount: number,
    now: number,
  ): void {
    this.sum += amount - (this.holdings.get(machine)?.amount ?? 0);
    this.holdings.delete(machine);
    const expiresAt = now + GRANT_VALIDITY_MILLISECONDS;
    this.holdings.set(machine, {sequence, amount, expiresAt});
  }
}
