const BURST_LINES = 100;
const LINES_PER_SECOND = 50;
const MILLISECONDS_PER_SECOND = 1_000;

/** A token bucket: its tokens at the time `at`, in milliseconds. */
interface Bucket {
  readonly tokens: number;
  readonly at: number;
  readonly suppressed: number;
}

/**
 * Limits how many log lines of one kind are written, with one token bucket per
 * kind. Suppressed lines are counted, and the next admitted line reports their
 * number, so that totals over a log stay correct.
 */
export class LineRateLimiter {
  private readonly buckets = new Map<string, Bucket>();

  private constructor(private readonly now: () => number) {}

  /** Creates a limiter; `now` is a monotonic clock in milliseconds. */
  static create(now: () => number): LineRateLimiter {
    return new LineRateLimiter(now);
  }

  /**
   * Returns how many lines of the kind were suppressed since the last admitted
   * one, or `undefined` if this line is to be suppressed too.
   */
  admit(kind: string): number | undefined {
    const now = this.now();
    const bucket = this.buckets.get(kind);
    const {tokens, at, suppressed} = bucket ?? {
      tokens: BURST_LINES,
      at: now,
      suppressed: 0,
    };
    const refilled = ((now - at) * LINES_PER_SECOND) / MILLISECONDS_PER_SECOND;
    const available = Math.min(BURST_LINES, tokens + refilled);
    const admitted = available >= 1;
    this.buckets.set(kind, {
      tokens: admitted ? available - 1 : available,
      at: now,
      suppressed: admitted ? 0 : suppressed + 1,
    });
    return admitted ? suppressed : undefined;
  }
}
