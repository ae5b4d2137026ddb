import {StatementAnswer} from '@apricotlock/statement';
import {WorkRequest} from './work_messages.js';
import {WriteSlots, WriteSlotsOptions} from './write_slots.js';

/**
 * Applies {@link WriteSlots} to the work of callers: work that can't write takes
 * no part, and the answers to work that can tell whether replicas confirm
 * commits.
 */
export class WriteAdmission {
  private constructor(private readonly slots: WriteSlots) {}

  /** Creates an instance without confirmed commits. */
  static create(options: WriteSlotsOptions): WriteAdmission {
    return new WriteAdmission(WriteSlots.create(options));
  }

  /**
   * Waits until work may take a slot, as far as it may write, for at most
   * `waitMilliseconds`. Resolves to whether it may.
   */
  async acquire(
    request: WorkRequest,
    waitMilliseconds: number,
  ): Promise<boolean> {
    if (!mayWrite(request)) return true;
    return this.slots.acquire(request.primaryTerm, waitMilliseconds);
  }

  /** Releases what work has acquired. */
  release(request: WorkRequest): void {
    if (mayWrite(request)) this.slots.release();
  }

  /** Records what an answer says of whether replicas confirm commits. */
  recordAnswer(request: WorkRequest, {end, state}: StatementAnswer): void {
    const isEnd = state === 'idle' && end.kind === 'complete';
    if (!isEnd || !mayWrite(request)) return;
    const {primaryTerm, first} = request;
    if (first.opens === 'none') this.slots.recordWrite(primaryTerm);
    else this.slots.recordTransactionEnd(primaryTerm);
  }

  /** Records that a commit waits for a replica for unusually long. */
  recordStall(): void {
    this.slots.recordStall();
  }
}

/** Returns whether work may write, alone or in a transaction. */
function mayWrite({primaryTerm, first}: WorkRequest): boolean {
  return primaryTerm > 0 && !first.repeatable;
}
