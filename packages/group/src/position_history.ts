import {Position} from '@apricotlock/session';

const SPACING_MILLISECONDS = 50;
const MAXIMUM_AGE_MILLISECONDS = 600_000;

interface Entry {
  readonly position: Position;
  /** The latest time, on the timer's clock, at which it was that. */
  readonly askedAt: number;
}

/**
 * Where a primary stood at which time, as one process heard it. A member that
 * has applied a position shows nothing older than the time at which that
 * position was still the primary's. Leaving an entry out only makes ages
 * longer than they are, so entries are spaced and old ones are dropped.
 */
export class PositionHistory {
  private entries: readonly Entry[] = [];

  private constructor() {}

  /** A history of nothing. */
  static create(): PositionHistory {
    return new PositionHistory();
  }

  /** The primary was asked at this time, and then stood here. */
  note(position: Position, askedAt: number): void {
    const last = this.entries[this.entries.length - 1];
    if (last !== undefined && last.askedAt >= askedAt) return;
    if (last?.position === position) {
      this.entries = [...this.entries.slice(0, -1), {position, askedAt}];
      return;
    }
    const isTooSoon =
      last !== undefined && askedAt - last.askedAt < SPACING_MILLISECONDS;
    if (isTooSoon) return;
    const oldest = askedAt - MAXIMUM_AGE_MILLISECONDS;
    const kept = this.entries.filter(entry => entry.askedAt >= oldest);
    this.entries = [...kept, {position, askedAt}];
  }

  /** The latest time whose state a member with this position shows. */
  timeOf(applied: Position): number | undefined {
    for (let index = this.entries.length - 1; index >= 0; index--) {
      const entry = this.entries[index] as Entry;
      if (entry.position <= applied) return entry.askedAt;
    }
    return undefined;
  }

  /** Forgets all: another term has another history. */
  clear(): void {
    this.entries = [];
  }
}
