/** How many answers are remembered; heartbeats confirm one within three. */
const MAXIMUM_ANSWERS = 32;

/**
 * The times at which a follower sent its answers to the leader. When the leader
 * reports that a quorum has confirmed it after it received one of them, the
 * follower knows that the leader's log was the newest at that time, on the
 * follower's own clock.
 */
export class SentAnswers {
  private readonly sentAt = new Map<number, number>();

  private constructor(private lastNumber: number) {}

  /**
   * Creates an empty record. `firstNumber` is random, so that a leader's report
   * on answers of an earlier process on this VM is not mistaken for one on
   * answers of this process.
   */
  static create(firstNumber: number): SentAnswers {
    return new SentAnswers(firstNumber);
  }

  /** Records an answer that is sent at `at`, and returns its number. */
  add(at: number): number {
    this.lastNumber += 1;
    this.sentAt.set(this.lastNumber, at);
    this.sentAt.delete(this.lastNumber - MAXIMUM_ANSWERS);
    return this.lastNumber;
  }

  /** Returns when an answer was sent; `undefined` if it is not known. */
  find(answer: number): number | undefined {
    return this.sentAt.get(answer);
  }
}

interface ReceivedAnswer {
  readonly answer: number;
  readonly receivedAt: number;
}

/** The answers of one follower that its leader has received. */
export class ReceivedAnswers {
  private answers: readonly ReceivedAnswer[] = [];

  private constructor() {}

  /** Creates an empty record. */
  static create(): ReceivedAnswers {
    return new ReceivedAnswers();
  }

  /** Records an answer that was received at `receivedAt`. */
  add(answer: number, receivedAt: number): void {
    const recent = this.answers.slice(1 - MAXIMUM_ANSWERS);
    this.answers = [...recent, {answer, receivedAt}];
  }

  /**
   * Returns the newest answer that was received before a quorum confirmed the
   * leader; `undefined` if there is none. Older ones are forgotten.
   */
  newestConfirmed(quorumContactAt: number): number | undefined {
    const confirmed = this.answers.filter(
      ({receivedAt}) => receivedAt <= quorumContactAt,
    );
    const newest = confirmed.at(-1);
    if (newest === undefined) return undefined;
    this.answers = this.answers.slice(confirmed.length - 1);
    return newest.answer;
  }
}
