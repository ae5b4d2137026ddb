import {headLines} from './metric_head.js';

/** Counts of one metric, by its labels, such as `kind="timeout"`. */
export class CounterSet {
  private readonly counts = new Map<string, number>();

  private constructor() {}

  /** All counters at zero. */
  static create(): CounterSet {
    return new CounterSet();
  }

  /** Counts one more. */
  increase(labels: string): void {
    this.counts.set(labels, (this.counts.get(labels) ?? 0) + 1);
  }

  /** The counters with their labels. */
  entries(): ReadonlyArray<readonly [labels: string, count: number]> {
    return [...this.counts];
  }
}

/** Counters as they stand on the page. */
export function counterLines(
  name: string,
  help: string,
  counters: CounterSet,
): readonly string[] {
  const lines = counters
    .entries()
    .map(([labels, count]) => `${name}{${labels}} ${count}`);
  return [...headLines(name, help, 'counter'), ...lines];
}
