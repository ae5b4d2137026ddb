const INCREMENT = 0x6d2b79f5;
const RANGE = 2 ** 32;

/**
 * Random numbers from a seed, so that a run can be repeated. Source: the
 * public-domain generator mulberry32.
 */
export class RandomSource {
  private constructor(private state: number) {}

  /** A source whose numbers depend on the seed alone. */
  static of(seed: number): RandomSource {
    return new RandomSource(seed | 0);
  }

  /** The next number, at least 0 and less than 1. */
  next(): number {
    this.state = (this.state + INCREMENT) | 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE;
  }

  /** A number between two others. */
  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }
}
