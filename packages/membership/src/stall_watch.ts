import {TimerService, Unsubscribe} from '@apricotlock/timer';

const TICK_MILLISECONDS = 100;
const STALL_MILLISECONDS = 300;

/**
 * Tells whether this process itself has stood still, in which case answers
 * wait unread and the silence of others means nothing.
 */
export class StallWatch {
  private tickedAt: number;
  private stalledAt = -Infinity;
  private readonly unsubscribe: Unsubscribe;

  private constructor(private readonly timer: TimerService) {
    this.tickedAt = timer.now();
    this.unsubscribe = timer.every(TICK_MILLISECONDS, () => this.look());
  }

  /** Starts to watch. */
  static start(timer: TimerService): StallWatch {
    return new StallWatch(timer);
  }

  /** Whether the process has stood still within the last milliseconds. */
  stalledWithin(milliseconds: number): boolean {
    this.look();
    return this.timer.now() - this.stalledAt < milliseconds;
  }

  /** Watches no more. */
  stop(): void {
    this.unsubscribe();
  }

  private look(): void {
    const now = this.timer.now();
    if (now - this.tickedAt > STALL_MILLISECONDS) this.stalledAt = now;
    this.tickedAt = now;
  }
}
