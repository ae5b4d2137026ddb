import {Unsubscribe} from './timer_service.js';

/** Periodic actions run at multiples of this time on the monotonic clock. */
const SLOT_MILLISECONDS = 50;
/** Longer periods begin at every other slot, so that more of them coincide. */
const LONG_PERIOD_SLOTS = 2;
/** Node.js may fire a timer this much too early, since it caches the time. */
const EARLY_MILLISECONDS = 10;

interface PeriodicAction {
  readonly periodSlots: number;
  readonly run: () => void;
}

/**
 * Runs periodic actions in shared time slots. A process has hundreds of them,
 * such as one for each link to another VM. With a timer each, nearly every one
 * would wake the process on its own, and wake-ups are most of the cost of an
 * idle process.
 */
export class PeriodicSchedule {
  private readonly actionsBySlot = new Map<number, PeriodicAction[]>();
  private readonly stopped = new WeakSet<PeriodicAction>();
  private armedSlot = Infinity;
  private armedTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly now: () => number) {}

  /** Creates an empty schedule; `now` is a monotonic clock in milliseconds. */
  static create(now: () => number): PeriodicSchedule {
    return new PeriodicSchedule(now);
  }

  /** Whether the slots are short enough for actions of this period. */
  static supports(periodMilliseconds: number): boolean {
    return periodMilliseconds >= SLOT_MILLISECONDS;
  }

  /**
   * Runs an action after each period, in the next shared slot. The period is
   * rounded up to whole slots. Periods that pass while the process is suspended
   * or busy are skipped.
   */
  add(periodMilliseconds: number, run: () => void): Unsubscribe {
    const periodSlots = Math.ceil(periodMilliseconds / SLOT_MILLISECONDS);
    const action: PeriodicAction = {periodSlots, run};
    const firstAt = this.now() + periodMilliseconds;
    const alignment = Math.min(periodSlots, LONG_PERIOD_SLOTS);
    const slot =
      Math.ceil(firstAt / (SLOT_MILLISECONDS * alignment)) * alignment;
    this.insert(action, slot);
    if (slot < this.armedSlot) this.arm(slot);
    return () => this.remove(action);
  }

  private insert(action: PeriodicAction, slot: number): void {
    const actions = this.actionsBySlot.get(slot);
    if (actions === undefined) this.actionsBySlot.set(slot, [action]);
    else actions.push(action);
  }

  private remove(action: PeriodicAction): void {
    this.stopped.add(action);
    for (const [slot, actions] of this.actionsBySlot) {
      const index = actions.indexOf(action);
      if (index < 0) continue;
      actions.splice(index, 1);
      if (actions.length === 0) this.actionsBySlot.delete(slot);
    }
    if (this.actionsBySlot.size === 0) this.arm(Infinity);
  }

  private arm(slot: number): void {
    clearTimeout(this.armedTimer);
    this.armedSlot = slot;
    if (slot === Infinity) return;
    const delay = slot * SLOT_MILLISECONDS - this.now();
    this.armedTimer = setTimeout(() => this.runDue(), Math.max(1, delay));
  }

  private runDue(): void {
    const currentSlot = Math.floor(
      (this.now() + EARLY_MILLISECONDS) / SLOT_MILLISECONDS,
    );
    const due: PeriodicAction[] = [];
    for (const [slot, actions] of this.actionsBySlot) {
      if (slot > currentSlot) continue;
      this.actionsBySlot.delete(slot);
      due.push(...actions);
    }
    for (const action of due) {
      this.insert(action, currentSlot + action.periodSlots);
    }
    this.arm(Math.min(Infinity, ...this.actionsBySlot.keys()));
    for (const action of due) this.runUnlessStopped(action);
  }

  /** Runs an action; its failure does not keep the others from running. */
  private runUnlessStopped(action: PeriodicAction): void {
    if (this.stopped.has(action)) return;
    try {
      action.run();
    } catch (failure) {
      queueMicrotask(() => {
        throw failure;
      });
    }
  }
}
