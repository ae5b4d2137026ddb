import {TimerService, Unsubscribe} from '@apricotlock/timer';

/** A monotonic clock and a wall clock that a test sets separately. */
export class SeparateClocks extends TimerService {
  monotonic = 0;
  wall = 1_000_000;

  override now(): number {
    return this.monotonic;
  }

  override wallClock(): number {
    return this.wall;
  }

  override once(): Unsubscribe {
    return () => undefined;
  }

  override every(): Unsubscribe {
    return () => undefined;
  }

  advance(milliseconds: number): void {
    this.monotonic += milliseconds;
    this.wall += milliseconds;
  }
}
