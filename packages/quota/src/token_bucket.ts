const MILLISECONDS_PER_SECOND = 1_000;
/** Absorbs rounding errors of sums of fractions. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * The operations that a coordinator may still grant to one organisation. The
 * level is fractional, so that a rate of less than one operation in any period
 * adds up.
 *
 * Load: one call of each method for each organisation in a grant request, which
 * is at most about 50 per second for each VM with callers of the organisation.
 */
export class TokenBucket {
  private constructor(
    private currentLevel: number,
    private filledAt: number,
  ) {}

  /** Creates a bucket with a level at a time in milliseconds. */
  static create(level: number, now: number): TokenBucket {
    return new TokenBucket(level, now);
  }

  /** The operations in the bucket. */
  get level(): number {
    return this.currentLevel;
  }

  /** Adds what the rate has yielded since the last call, up to `limit`. */
  fill(now: number, operationsPerSecond: number, limit: number): void {
    const elapsed = Math.max(0, now - this.filledAt);
    this.filledAt = now;
    const yielded = (operationsPerSecond * elapsed) / MILLISECONDS_PER_SECOND;
    const filled = Math.min(this.currentLevel + yielded, limit);
    this.currentLevel = Math.max(this.currentLevel, filled);
  }

  /** Removes what exceeds `limit`. */
  cut(limit: number): void {
    this.currentLevel = Math.min(this.currentLevel, limit);
  }

  /** Adds operations that were granted and not used. */
  putBack(count: number): void {
    this.currentLevel += count;
  }

  /** Takes up to `wanted` whole operations, and returns how many. */
  take(wanted: number): number {
    const available = Math.floor(this.currentLevel + ROUNDING_TOLERANCE);
    const taken = Math.max(0, Math.min(wanted, available));
    this.currentLevel -= taken;
    return taken;
  }
}
