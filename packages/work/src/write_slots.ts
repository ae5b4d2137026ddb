import {Deferred} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';

/**
 * A transaction may have written nothing, so its end confirms commits only if no
 * stall was noticed for this long. A stall is noticed after a quarter of it.
 */
const QUIET_MILLISECONDS = 1_000;

/** Options of {@link WriteSlots}. */
export interface WriteSlotsOptions {
  /** The number of statements that the member runs at once. */
  readonly slots: number;
  readonly timer: TimerService;
}

/**
 * Keeps one slot of a primary free of writes while it is not known that a
 * replica confirms its commits.
 *
 * It answers the load on a primary whose replicas receive nothing, as after the
 * loss of the former primary: each commit keeps its slot until it times out, and
 * within a moment no slot is left for reads, although only this primary can
 * serve them. A primary with a single slot runs writes and reads in turn.
 */
export class WriteSlots {
  /** The term of the last write. */
  private term: number | undefined;
  private isConfirmed = false;
  /** When the term began here, or a stall was last noticed. */
  private doubtfulSince = -Infinity;
  private used = 0;
  private readonly waiting = new Set<Deferred<boolean>>();

  private constructor(private readonly options: WriteSlotsOptions) {}

  /** Creates an instance without confirmed commits. */
  static create(options: WriteSlotsOptions): WriteSlots {
    return new WriteSlots(options);
  }

  /**
   * Waits until a write may take a slot in a term of the primary, for at most
   * `waitMilliseconds`. Resolves to `false` if it may not by then. Each
   * successful call is followed by one of {@link WriteSlots.release}.
   */
  async acquire(term: number, waitMilliseconds: number): Promise<boolean> {
    if (term !== this.term) this.startTerm(term);
    if (this.isConfirmed || this.used < this.limit) {
      this.used += 1;
      return true;
    }
    const admission = Deferred.create<boolean>();
    this.waiting.add(admission);
    const cancelTimer = this.options.timer.once(waitMilliseconds, () => {
      if (this.waiting.delete(admission)) admission.resolve(false);
    });
    const isAdmitted = await admission.promise;
    cancelTimer();
    return isAdmitted;
  }

  /** Records that a write has ended, so that the next one may start. */
  release(): void {
    this.used -= 1;
    if (this.used < this.limit) this.startNext();
  }

  /** Records that a single write was answered, which a replica has confirmed. */
  recordWrite(term: number): void {
    if (term !== this.term || this.isConfirmed) return;
    this.isConfirmed = true;
    while (this.startNext()) continue;
  }

  /** Records that a transaction has ended, which may have written. */
  recordTransactionEnd(term: number): void {
    const quietMilliseconds = this.options.timer.now() - this.doubtfulSince;
    if (quietMilliseconds >= QUIET_MILLISECONDS) this.recordWrite(term);
  }

  /** Records that a commit waits for a replica for unusually long. */
  recordStall(): void {
    this.isConfirmed = false;
    this.doubtfulSince = this.options.timer.now();
  }

  private startTerm(term: number): void {
    this.term = term;
    this.isConfirmed = false;
    this.doubtfulSince = this.options.timer.now();
  }

  private get limit(): number {
    return Math.max(1, this.options.slots - 1);
  }

  private startNext(): boolean {
    const [next] = this.waiting;
    if (next === undefined) return false;
    this.waiting.delete(next);
    this.used += 1;
    next.resolve(true);
    return true;
  }
}
