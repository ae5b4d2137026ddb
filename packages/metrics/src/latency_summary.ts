import type {Histogram} from 'hdr-histogram-js';
// Importing the package's index would also load its WebAssembly module and its
// compression code.
import {constructorFromBucketSize} from 'hdr-histogram-js/dist/JsHistogramFactory.js';
import {TimerService} from '@apricotlock/timer';

const WINDOW_MILLISECONDS = 60_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const SIGNIFICANT_DIGITS = 2;
const BUCKET_BITS = 32;
/** The highest value at first; the histogram grows for longer durations. */
const INITIAL_HIGHEST_MICROSECONDS = 1_000_000;
const QUANTILES = [0.5, 0.9, 0.99, 0.999];

const Int32Histogram = constructorFromBucketSize(BUCKET_BITS);

/**
 * A Prometheus summary of durations: quantiles over the last one to two
 * minutes, and count and sum since the summary was created.
 */
export class LatencySummary {
  private previousWindow: Histogram = createHistogram();
  private currentWindow: Histogram = createHistogram();
  private windowStartedAt: number;
  private count = 0;
  private sumMilliseconds = 0;

  private constructor(private readonly timer: TimerService) {
    this.windowStartedAt = timer.now();
  }

  /** Creates an empty summary. */
  static create(timer: TimerService): LatencySummary {
    return new LatencySummary(timer);
  }

  /** Records one duration. */
  record(milliseconds: number): void {
    this.rotateWindows();
    this.count += 1;
    this.sumMilliseconds += milliseconds;
    const microseconds = Math.round(
      milliseconds * MICROSECONDS_PER_MILLISECOND,
    );
    this.currentWindow.recordValue(Math.max(1, microseconds));
  }

  /**
   * Renders the quantiles, sum and count as lines of the Prometheus text
   * format, in seconds.
   */
  render(name: string, labels: string): readonly string[] {
    this.rotateWindows();
    const merged = createHistogram();
    merged.add(this.previousWindow);
    merged.add(this.currentWindow);
    const quantiles = QUANTILES.map(quantile => {
      const value = merged.getValueAtPercentile(quantile * 100);
      const seconds = value / MICROSECONDS_PER_SECOND;
      return `${name}{${labels},quantile="${quantile}"} ${seconds}`;
    });
    return [
      ...quantiles,
      `${name}_sum{${labels}} ${this.sumMilliseconds / 1_000}`,
      `${name}_count{${labels}} ${this.count}`,
    ];
  }

  /**
   * Starts a new window once the current one is a minute old. After two
   * minutes without a call, the current window is too old to be kept as the
   * previous one.
   */
  private rotateWindows(): void {
    const windowAge = this.timer.now() - this.windowStartedAt;
    if (windowAge < WINDOW_MILLISECONDS) return;
    const isPreviousRecent = windowAge < 2 * WINDOW_MILLISECONDS;
    this.previousWindow = isPreviousRecent
      ? this.currentWindow
      : createHistogram();
    this.currentWindow = createHistogram();
    this.windowStartedAt = this.timer.now();
  }
}

function createHistogram(): Histogram {
  const histogram = new Int32Histogram(
    1,
    INITIAL_HIGHEST_MICROSECONDS,
    SIGNIFICANT_DIGITS,
  );
  histogram.autoResize = true;
  return histogram;
}
