const INCREMENT = 0x6d2b79f5;
const RANGE = 2 ** 32;

/**
 * Generates random numbers from a seed, so that a run can be repeated. Source:
 * the public-domain generator mulberry32.
 */
export class RandomSource {
  private constructor(private state: number) {}

  /** Creates a source whose numbers depend only on the seed. */
  static of(seed: number): RandomSource {
    return new RandomSource(seed | 0);
  }

  /** Returns the next number, at least 0 and less than 1. */
  nextNumber(): number {
    this.state = (this.state + INCREMENT) | 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE;
  }

  /** Returns a number between `low` (inclusive) and `high` (exclusive). */
  nextBetween(low: number, high: number): number {
    return low + this.nextNumber() * (high - low);
  }
}
