import {TimerService} from '@apricotlock/timer';
import {LatencySummary} from './latency_summary.js';
import {renderMetricHeader} from './metric_header.js';

/** The summaries of one metric, keyed by labels such as `purpose="read"`. */
export class LatencySummarySet {
  private readonly summaries = new Map<string, LatencySummary>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty set; the first latency with new labels adds a summary. */
  static create(timer: TimerService): LatencySummarySet {
    return new LatencySummarySet(timer);
  }

  /** Records a latency under these labels, in milliseconds. */
  record(labels: string, milliseconds: number): void {
    let summary = this.summaries.get(labels);
    if (summary === undefined) {
      summary = LatencySummary.create(this.timer);
      this.summaries.set(labels, summary);
    }
    summary.record(milliseconds);
  }

  /** Renders all summaries as lines of the Prometheus text format. */
  render(name: string, help: string): readonly string[] {
    const lines = [...this.summaries].flatMap(([labels, summary]) =>
      summary.render(name, labels),
    );
    return [...renderMetricHeader(name, help, 'summary'), ...lines];
  }
}
