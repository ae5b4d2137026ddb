import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {SessionMetrics} from '../src/session_metrics.js';

describe('SessionMetrics', () => {
  it('reports latencies by consistency, failures by kind, and gauges', () => {
    const metrics = SessionMetrics.create(ManualTimerService.create());
    metrics.onAnswer('primary', 20);
    metrics.onAnswer('readYourWrites', 40);
    metrics.onFailure('notRun');
    metrics.onFailure('notRun');
    metrics.onFailure('unauthenticated');
    metrics.onQuotaRefusal();
    metrics.onRouting('behind');
    metrics.onDrainingWork('primary');
    metrics.onConnectionEvent('replaced');
    metrics.onRefusal('overloaded');
    metrics.addGauges([
      {name: 'sessions', help: 'Open sessions', read: () => 7},
    ]);
    const lines = metrics.render().split('\n');
    expect(lines).to.include.members([
      'apricotlock_draining_member_work_total{role="primary"} 1',
      'apricotlock_failures_total{kind="notRun"} 2',
      'apricotlock_failures_total{kind="unauthenticated"} 1',
      'apricotlock_quota_refusals_total{kind="operation"} 1',
      'apricotlock_member_connection_events_total{event="replaced"} 1',
      'apricotlock_work_refusals_total{reason="overloaded"} 1',
      'apricotlock_routing_events_total{event="behind"} 1',
      'apricotlock_statement_duration_seconds_count{consistency="primary"} 1',
      'sessions 7',
    ]);
  });
});
