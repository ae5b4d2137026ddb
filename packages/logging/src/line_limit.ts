const BURST_LINES = 100;
const LINES_A_SECOND = 50;
const SECOND_MILLISECONDS = 1_000;

interface Bucket {
  readonly tokens: number;
  readonly at: number;
  readonly suppressed: number;
}

/**
 * Bounds how many lines of one kind are written: at first a burst, then so
 * many a second. Those left out are counted, and the next line that is written
 * says how many they were, so that sums stay right.
 */
export class LineLimit {
  private readonly buckets = new Map<string, Bucket>();

  private constructor(private readonly now: () => number) {}

  /** A limit by a clock in milliseconds. */
  static create(now: () => number): LineLimit {
    return new LineLimit(now);
  }

  /**
   * How many lines of the kind were left out before this one; `undefined` if
   * this one is to be left out too.
   */
  admit(kind: string): number | undefined {
    const now = this.now();
    const known = this.buckets.get(kind);
    const {tokens, at, suppressed} = known ?? {
      tokens: BURST_LINES,
      at: now,
      suppressed: 0,
    };
    const earned = ((now - at) * LINES_A_SECOND) / SECOND_MILLISECONDS;
    const available = Math.min(BURST_LINES, tokens + earned);
    const admitted = available >= 1;
    this.buckets.set(kind, {
      tokens: admitted ? available - 1 : available,
      at: now,
      suppressed: admitted ? 0 : suppressed + 1,
    });
    return admitted ? suppressed : undefined;
  }
}
