import type {Histogram} from 'hdr-histogram-js';
// The package's index would load its WebAssembly and compression too.
import {constructorFromBucketSize} from 'hdr-histogram-js/dist/JsHistogramFactory.js';
import {TimerService} from '@apricotlock/timer';

const WINDOW_MILLISECONDS = 60_000;
const MICROSECONDS_A_MILLISECOND = 1_000;
const MICROSECONDS_A_SECOND = 1_000_000;
const SIGNIFICANT_DIGITS = 2;
const BUCKET_BITS = 32;
/** Longer durations make the histogram larger. */
const FIRST_HIGHEST_MICROSECONDS = 1_000_000;
const QUANTILES = [0.5, 0.9, 0.99, 0.999];

const Int32Histogram = constructorFromBucketSize(BUCKET_BITS);

/**
 * How long something took: quantiles over the last one to two minutes, and
 * count and sum since the start.
 */
export class LatencySummary {
  private previous: Histogram = newHistogram();
  private current: Histogram = newHistogram();
  private begunAt: number;
  private count = 0;
  private sumMilliseconds = 0;

  private constructor(private readonly timer: TimerService) {
    this.begunAt = timer.now();
  }

  /** A summary of nothing yet. */
  static create(timer: TimerService): LatencySummary {
    return new LatencySummary(timer);
  }

  /** Adds one duration. */
  record(milliseconds: number): void {
    this.turn();
    this.count += 1;
    this.sumMilliseconds += milliseconds;
    const microseconds = Math.round(milliseconds * MICROSECONDS_A_MILLISECOND);
    this.current.recordValue(Math.max(1, microseconds));
  }

  /** The lines of a Prometheus summary. */
  lines(name: string, labels: string): readonly string[] {
    this.turn();
    const both = newHistogram();
    both.add(this.previous);
    both.add(this.current);
    const quantiles = QUANTILES.map(quantile => {
      const value = both.getValueAtPercentile(quantile * 100);
      const seconds = value / MICROSECONDS_A_SECOND;
      return `${name}{${labels},quantile="${quantile}"} ${seconds}`;
    });
    return [
      ...quantiles,
      `${name}_sum{${labels}} ${this.sumMilliseconds / 1_000}`,
      `${name}_count{${labels}} ${this.count}`,
    ];
  }

  private turn(): void {
    const age = this.timer.now() - this.begunAt;
    if (age < WINDOW_MILLISECONDS) return;
    const recent = age < 2 * WINDOW_MILLISECONDS;
    this.previous = recent ? this.current : newHistogram();
    this.current = newHistogram();
    this.begunAt = this.timer.now();
  }
}

function newHistogram(): Histogram {
  const histogram = new Int32Histogram(
    1,
    FIRST_HIGHEST_MICROSECONDS,
    SIGNIFICANT_DIGITS,
  );
  histogram.autoResize = true;
  return histogram;
}
