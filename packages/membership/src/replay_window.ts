const WINDOW_BITS = 64n;
const WINDOW_MASK = (1n << WINDOW_BITS) - 1n;

/**
 * Tells datagrams of one sender that were heard before from new ones: the
 * sequence numbers that are at most {@link WINDOW_BITS} behind the highest are
 * remembered, older ones refused. Source: RFC 4303, section 3.4.3.
 */
export class ReplayWindow {
  private highest = 0;
  private seen = 0n;

  private constructor(readonly incarnation: number) {}

  /** A window for the datagrams of one start of the sender. */
  static create(incarnation: number): ReplayWindow {
    return new ReplayWindow(incarnation);
  }

  /** Whether a datagram with this number is the first one. */
  admit(sequence: number): boolean {
    const ahead = sequence - this.highest;
    if (ahead > 0) {
      this.seen =
        BigInt(ahead) >= WINDOW_BITS ? 0n : this.seen << BigInt(ahead);
      this.seen = (this.seen | 1n) & WINDOW_MASK;
      this.highest = sequence;
      return true;
    }
    const behind = BigInt(-ahead);
    if (behind >= WINDOW_BITS) return false;
    const bit = 1n << behind;
    if ((this.seen & bit) !== 0n) return false;
    this.seen |= bit;
    return true;
  }
}
