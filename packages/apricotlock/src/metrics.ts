import {monitorEventLoopDelay} from 'node:perf_hooks';
import {Failure, SessionObserver} from '@apricotlock/proxy';
import {
  counterLines,
  CounterSet,
  Gauge,
  gaugeLines,
  headLines,
  LatencySummary,
} from '@apricotlock/metrics';
import {TimerService} from '@apricotlock/timer';

const NANOSECONDS_A_SECOND = 1_000_000_000;

/** What the process does, for Prometheus, in its text format 0.0.4. */
export class Metrics implements SessionObserver {
  private readonly batches = CounterSet.create();
  private readonly failures = CounterSet.create();
  private readonly latencies = new Map<string, LatencySummary>();
  private readonly delay = monitorEventLoopDelay();
  private gauges: readonly Gauge[] = [];

  private constructor(private readonly timer: TimerService) {
    this.delay.enable();
  }

  /** All counters at zero. */
  static create(timer: TimerService): Metrics {
    return new Metrics(timer);
  }

  readonly now = (): number => this.timer.now();

  readonly onServed = (
    by: 'primary' | 'replica',
    purpose: 'read' | 'write',
    milliseconds: number,
  ): void => {
    const labels = `by="${by}",purpose="${purpose}"`;
    this.batches.increase(labels);
    let latency = this.latencies.get(labels);
    if (latency === undefined) {
      latency = LatencySummary.create(this.timer);
      this.latencies.set(labels, latency);
    }
    latency.record(milliseconds);
  };

  readonly onFailure = (failure: Failure): void => {
    this.failures.increase(`kind="${failure.kind}"`);
  };

  /** Shows gauges on the page from now on. */
  show(gauges: readonly Gauge[]): void {
    this.gauges = [...this.gauges, ...gauges];
  }

  /** The page. */
  render(): string {
    return [
      ...counterLines(
        'apricotlock_batches_total',
        'Batches answered, by who answered them',
        this.batches,
      ),
      ...counterLines(
        'apricotlock_failures_total',
        'Batches that failed, by kind',
        this.failures,
      ),
      ...this.latencyLines(),
      ...this.gauges.flatMap(gaugeLines),
      ...gaugeLines({
        name: 'apricotlock_event_loop_delay_seconds',
        help: 'The 99th percentile since the page was last asked for',
        read: () => this.readDelay(),
      }),
      '',
    ].join('\n');
  }

  private latencyLines(): readonly string[] {
    const name = 'apricotlock_batch_duration_seconds';
    const head = headLines(name, 'From request to answer', 'summary');
    const lines = [...this.latencies].flatMap(([labels, latency]) =>
      latency.lines(name, labels),
    );
    return [...head, ...lines];
  }

  private readDelay(): number {
    const seconds = this.delay.percentile(99) / NANOSECONDS_A_SECOND;
    this.delay.reset();
    return seconds;
  }
}
