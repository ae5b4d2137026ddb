import {Row} from './caller.js';
import {NO_VIOLATIONS, Violations} from './violations.js';

/** Records the outcome that callers received for each write, by unique id. */
export class WriteHistory {
  private readonly acknowledged = new Set<string>();
  private readonly refused = new Set<string>();
  private readonly unknown = new Set<string>();

  private constructor() {}

  /** Creates an empty history. */
  static create(): WriteHistory {
    return new WriteHistory();
  }

  /** Records the outcome that a caller received for a write. */
  record(id: string, outcome: 'done' | 'notRun' | 'unknown'): void {
    if (outcome === 'done') this.acknowledged.add(id);
    else if (outcome === 'notRun') this.refused.add(id);
    else this.unknown.add(id);
  }

  /** Number of writes whose outcome is unknown to their callers. */
  get unknownCount(): number {
    return this.unknown.size;
  }

  /**
   * Compares the history with the final rows of a database and counts the
   * violations. A row's `id` is the id of its write. All rows of one
   * transaction have the same id, and `parts` in each of them is their number.
   */
  check(rows: readonly Row[]): Violations {
    const found = new Map<string, number>();
    const expected = new Map<string, number>();
    for (const row of rows) {
      const id = String(row['id']);
      found.set(id, (found.get(id) ?? 0) + 1);
      expected.set(id, Number(row['parts'] ?? 1));
    }
    const foundOf = (id: string) => found.get(id) ?? 0;
    const expectedOf = (id: string) => expected.get(id) ?? 1;
    return {
      ...NO_VIOLATIONS,
      acknowledgedLost: count(this.acknowledged, id => !found.has(id)),
      falseNotRun: count(this.refused, id => found.has(id)),
      runTwice: count(found.keys(), id => foundOf(id) > expectedOf(id)),
      transactionsMixed: count(
        found.keys(),
        id => foundOf(id) < expectedOf(id),
      ),
    };
  }
}

function count(ids: Iterable<string>, test: (id: string) => boolean): number {
  return [...ids].filter(test).length;
}
