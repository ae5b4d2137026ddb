import {RoutingEvent, SessionObserver} from '@apricotlock/dispatch';
import {
  renderCounters,
  CounterSet,
  Gauge,
  renderGauge,
  LatencySummarySet,
} from '@apricotlock/metrics';
import {CallerFailure} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {Consistency} from '@apricotlock/topology';
import {
  ConnectionEvent,
  MemberRole,
  WorkObserver,
  WorkRefusalReason,
} from '@apricotlock/work';

/**
 * Counts failures and measures latencies of callers' requests. No metric has
 * the entry as a label, so that the number of metrics does not grow with the
 * catalogue; details about a single entry are in the log.
 */
export class SessionMetrics extends SessionObserver implements WorkObserver {
  private readonly latencies: LatencySummarySet;
  private readonly failures = CounterSet.create();
  private readonly quotaRefusals = CounterSet.create();
  private readonly routing = CounterSet.create();
  private readonly drainingWork = CounterSet.create();
  private readonly connectionEvents = CounterSet.create();
  private readonly refusals = CounterSet.create();
  private gauges: readonly Gauge[] = [];

  private constructor(timer: TimerService) {
    super();
    this.latencies = LatencySummarySet.create(timer);
  }

  /** Creates metrics without observations. */
  static create(timer: TimerService): SessionMetrics {
    return new SessionMetrics(timer);
  }

  override onAnswer(consistency: Consistency, milliseconds: number): void {
    this.latencies.record(`consistency="${consistency}"`, milliseconds);
  }

  override onFailure(kind: CallerFailure['kind']): void {
    this.failures.increment(`kind="${kind}"`);
  }

  override onQuotaRefusal(): void {
    this.quotaRefusals.increment('kind="operation"');
  }

  override onRouting(event: RoutingEvent): void {
    this.routing.increment(`event="${event}"`);
  }

  /** Counts work that this VM began on a member that was draining. */
  onDrainingWork(role: MemberRole): void {
    this.drainingWork.increment(`role="${role}"`);
  }

  onConnectionEvent(event: ConnectionEvent): void {
    this.connectionEvents.increment(`event="${event}"`);
  }

  onRefusal(reason: WorkRefusalReason): void {
    this.refusals.increment(`reason="${reason}"`);
  }

  /** Adds gauges to the rendered metrics. */
  addGauges(gauges: readonly Gauge[]): void {
    this.gauges = [...this.gauges, ...gauges];
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    return [
      ...renderCounters(
        'apricotlock_failures_total',
        'Statements and sessions that failed, by kind',
        this.failures,
      ),
      ...renderCounters(
        'apricotlock_quota_refusals_total',
        'Operations refused by the quota of their organisation',
        this.quotaRefusals,
      ),
      ...renderCounters(
        'apricotlock_routing_events_total',
        'Decisions of the router about single statements, by event',
        this.routing,
      ),
      ...renderCounters(
        'apricotlock_draining_member_work_total',
        'Statements and transactions begun on a draining member, by its role',
        this.drainingWork,
      ),
      ...renderCounters(
        'apricotlock_member_connection_events_total',
        'Connections to members that were opened or taken from their use',
        this.connectionEvents,
      ),
      ...renderCounters(
        'apricotlock_work_refusals_total',
        'Statements and transactions that this VM refused to run on members',
        this.refusals,
      ),
      ...this.latencies.render(
        'apricotlock_statement_duration_seconds',
        'From statement to answer',
      ),
      ...this.gauges.flatMap(renderGauge),
      '',
    ].join('\n');
  }
}
