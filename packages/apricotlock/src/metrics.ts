import {monitorEventLoopDelay} from 'node:perf_hooks';
import {Failure, SessionObserver} from '@apricotlock/proxy';
import {
  renderCounters,
  CounterSet,
  Gauge,
  renderGauge,
  LatencySummarySet,
} from '@apricotlock/metrics';
import {TimerService} from '@apricotlock/timer';

const NANOSECONDS_PER_SECOND = 1_000_000_000;

/** The metrics of the process, rendered in the Prometheus text format 0.0.4. */
export class Metrics implements SessionObserver {
  private readonly batches = CounterSet.create();
  private readonly failures = CounterSet.create();
  private readonly latencies: LatencySummarySet;
  private readonly eventLoopDelay = monitorEventLoopDelay();
  private gauges: readonly Gauge[] = [];

  private constructor(private readonly timer: TimerService) {
    this.latencies = LatencySummarySet.create(timer);
    this.eventLoopDelay.enable();
  }

  /** Creates metrics with all counters at zero, and no gauges. */
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
    this.batches.increment(labels);
    this.latencies.record(labels, milliseconds);
  };

  readonly onFailure = (failure: Failure): void => {
    this.failures.increment(`kind="${failure.kind}"`);
  };

  /** Adds gauges to the rendered metrics. */
  addGauges(gauges: readonly Gauge[]): void {
    this.gauges = [...this.gauges, ...gauges];
  }

  /**
   * Renders all metrics. Each call starts a new measurement of the event loop
   * delay.
   */
  render(): string {
    return [
      ...renderCounters(
        'apricotlock_batches_total',
        'Batches answered, by who answered them',
        this.batches,
      ),
      ...renderCounters(
        'apricotlock_failures_total',
        'Batches that failed, by kind',
        this.failures,
      ),
      ...this.latencies.render(
        'apricotlock_batch_duration_seconds',
        'From request to answer',
      ),
      ...this.gauges.flatMap(renderGauge),
      ...renderGauge({
        name: 'apricotlock_event_loop_delay_seconds',
        help: 'The 99th percentile since the page was last asked for',
        read: () => this.readEventLoopDelay(),
      }),
      '',
    ].join('\n');
  }

  private readEventLoopDelay(): number {
    const seconds = this.eventLoopDelay.percentile(99) / NANOSECONDS_PER_SECOND;
    this.eventLoopDelay.reset();
    return seconds;
  }
}
