import {Row} from './caller.js';
import {NO_VIOLATIONS, Violations} from './violations.js';

/** What callers were told of their writes, by the writes' unique ids. */
export class Ledger {
  private readonly acknowledged = new Set<string>();
  private readonly refused = new Set<string>();
  private readonly unknown = new Set<string>();

  private constructor() {}

  /** A ledger without entries. */
  static create(): Ledger {
    return new Ledger();
  }

  /** Notes what a caller was told of a write. */
  note(id: string, told: 'done' | 'notRun' | 'unknown'): void {
    if (told === 'done') this.acknowledged.add(id);
    else if (told === 'notRun') this.refused.add(id);
    else this.unknown.add(id);
  }

  /** Writes whose outcome the callers do not know. */
  get unknownCount(): number {
    return this.unknown.size;
  }

  /**
   * Compares with what a database holds in the end. A row's `id` names the
   * write; the rows of one transaction have the same id, and `parts` in each
   * says how many there are.
   */
  check(rows: readonly Row[]): Violations {
    const found = new Map<string, number>();
    const wanted = new Map<string, number>();
    for (const row of rows) {
      const id = String(row['id']);
      found.set(id, (found.get(id) ?? 0) + 1);
      wanted.set(id, Number(row['parts'] ?? 1));
    }
    const foundOf = (id: string) => found.get(id) ?? 0;
    const wantedOf = (id: string) => wanted.get(id) ?? 1;
    return {
      ...NO_VIOLATIONS,
      acknowledgedLost: count(this.acknowledged, id => !found.has(id)),
      falseNotRun: count(this.refused, id => found.has(id)),
      runTwice: count(found.keys(), id => foundOf(id) > wantedOf(id)),
      transactionsMixed: count(found.keys(), id => foundOf(id) < wantedOf(id)),
    };
  }
}

function count(ids: Iterable<string>, test: (id: string) => boolean): number {
  return [...ids].filter(test).length;
}
