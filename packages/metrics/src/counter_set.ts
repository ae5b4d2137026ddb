import {renderMetricHeader} from './metric_header.js';

/** The counters of one metric, keyed by labels such as `kind="timeout"`. */
export class CounterSet {
  private readonly counts = new Map<string, number>();

  private constructor() {}

  /** Creates an empty set; the first increment of a counter adds it. */
  static create(): CounterSet {
    return new CounterSet();
  }

  /** Adds one to the counter with these labels. */
  increment(labels: string): void {
    this.counts.set(labels, (this.counts.get(labels) ?? 0) + 1);
  }

  /** Returns every counter with its labels. */
  entries(): ReadonlyArray<readonly [labels: string, count: number]> {
    return [...this.counts];
  }
}

/** Renders a set of counters as lines of the Prometheus text format. */
export function renderCounters(
  name: string,
  help: string,
  counters: CounterSet,
): readonly string[] {
  const lines = counters
    .entries()
    .map(([labels, count]) => `${name}{${labels}} ${count}`);
  return [...renderMetricHeader(name, help, 'counter'), ...lines];
}
