const WINDOW_BITS = 64n;
const WINDOW_MASK = (1n << WINDOW_BITS) - 1n;

/**
 * Detects replayed datagrams of one sender. Tracks the last {@link WINDOW_BITS}
 * sequence numbers up to the highest received one, and rejects older ones.
 * Source: RFC 4303, section 3.4.3.
 */
export class ReplayWindow {
  private highestSequence = 0;
  private receivedBits = 0n;

  private constructor(readonly incarnation: number) {}

  /** Creates an empty window for one incarnation of the sender. */
  static create(incarnation: number): ReplayWindow {
    return new ReplayWindow(incarnation);
  }

  /**
   * Records a sequence number. Returns `false` if it was received before or is
   * too old to tell.
   */
  admit(sequence: number): boolean {
    const ahead = sequence - this.highestSequence;
    if (ahead > 0) {
      this.receivedBits =
        BigInt(ahead) >= WINDOW_BITS ? 0n : this.receivedBits << BigInt(ahead);
      this.receivedBits = (this.receivedBits | 1n) & WINDOW_MASK;
      this.highestSequence = sequence;
      return true;
    }
    const behind = BigInt(-ahead);
    if (behind >= WINDOW_BITS) return false;
    const bit = 1n << behind;
    if ((this.receivedBits & bit) !== 0n) return false;
    this.receivedBits |= bit;
    return true;
  }
}
