import {LogPosition} from '@apricotlock/statement';

const MAXIMUM_EVIDENCE = 64;

/** That a position covered every write acknowledged before a moment. */
export interface Evidence {
  /** The control term of the group in which the primary said so. */
  readonly term: number;
  /** When the primary was asked, on this VM's clock, in milliseconds. */
  readonly askedAt: number;
  readonly position: LogPosition;
}

/**
 * What this VM knows of how far each group's log was when. A read may show
 * data of a certain age: what the log held at that moment is the least that
 * a replica must have. The older the evidence that is used, the likelier a
 * lagging replica has it.
 */
export class FreshnessBook {
  private readonly evidence = new Map<string, readonly Evidence[]>();

  private constructor() {}

  /** A book without entries. */
  static create(): FreshnessBook {
    return new FreshnessBook();
  }

  /** Takes over what a primary said. */
  note(database: string, evidence: Evidence): void {
    const known = this.evidence.get(database) ?? [];
    const current = known.filter(({term}) => term >= evidence.term);
    const kept = current.length === 0 ? [] : current;
    const sorted = [...kept, evidence].sort(
      (left, right) => left.askedAt - right.askedAt,
    );
    this.evidence.set(database, sorted.slice(-MAXIMUM_EVIDENCE));
  }

  /**
   * A position that covers every write acknowledged before `moment`;
   * `undefined` if none is known.
   */
  coverSince(database: string, moment: number): Evidence | undefined {
    return this.evidence.get(database)?.find(({askedAt}) => askedAt >= moment);
  }

  /** The newest evidence of a group. */
  newest(database: string): Evidence | undefined {
    return this.evidence.get(database)?.at(-1);
  }
}
