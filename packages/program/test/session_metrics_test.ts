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
    metrics.onRouting('behind');
    metrics.onDrainingWork('primary');
    metrics.addGauges([
      {name: 'sessions', help: 'Open sessions', read: () => 7},
    ]);
    const lines = metrics.render().split('\n');
    expect(lines).to.include.members([
      'apricotlock_draining_member_work_total{role="primary"} 1',
      'apricotlock_failures_total{kind="notRun"} 2',
      'apricotlock_routing_events_total{event="behind"} 1',
      'apricotlock_statement_duration_seconds_count{consistency="primary"} 1',
      'sessions 7',
    ]);
  });
});
