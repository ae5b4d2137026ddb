import {Failure, SessionObserver} from '@apricotlock/proxy';

interface Counter {
  readonly name: string;
  readonly labels: string;
  readonly value: number;
}

/** Counts what the process does, for Prometheus. */
export class Metrics implements SessionObserver {
  private readonly counters = new Map<string, Counter>();

  private constructor() {}

  /** All counters at zero. */
  static create(): Metrics {
    return new Metrics();
  }

  readonly served = (
    by: 'primary' | 'replica',
    purpose: 'read' | 'write',
  ): void => {
    this.count('apricotlock_batches_total', `by="${by}",purpose="${purpose}"`);
  };

  readonly failed = (failure: Failure): void => {
    this.count('apricotlock_failures_total', `kind="${failure.kind}"`);
  };

  /** The counters, in Prometheus' text format. */
  render(): string {
    const lines = [...this.counters.values()].map(
      ({name, labels, value}) => `${name}{${labels}} ${value}\n`,
    );
    return lines.join('');
  }

  private count(name: string, labels: string): void {
    const key = `${name}{${labels}}`;
    const value = (this.counters.get(key)?.value ?? 0) + 1;
    this.counters.set(key, {name, labels, value});
  }
}
