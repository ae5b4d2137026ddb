import {Deferred} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';

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
  /** The term in which a commit was confirmed after the last stall. */
  private confirmedTerm: number | undefined;
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
    if (this.mayStart(term)) {
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

  /** Records that a replica has confirmed a commit of a term. */
  recordConfirmation(term: number): void {
    this.confirmedTerm = term;
    while (this.startNext()) continue;
  }

  /** Records that a commit waits for a replica for unusually long. */
  recordStall(): void {
    this.confirmedTerm = undefined;
  }

  private mayStart(term: number): boolean {
    return this.confirmedTerm === term || this.used < this.limit;
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
