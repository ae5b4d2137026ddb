import {expect} from 'chai';
import {renderGauge} from '@apricotlock/metrics';
import {ManualTimerService, SystemTimerService} from '@apricotlock/timer';
import {EventLoopMonitor} from '../src/event_loop_monitor.js';

const PAUSE_MILLISECONDS = 250;

function read(monitor: EventLoopMonitor, name: string): number {
  const line = monitor
    .gauges()
    .flatMap(renderGauge)
    .find(each => each.startsWith(`${name} `));
  return Number(line?.split(' ').at(-1));
}

describe('EventLoopMonitor', () => {
  // Guards against a VM that is short of CPU time and does not show it.
  it('reports a pause of the process once', async () => {
    const timer = SystemTimerService.create();
    const monitor = EventLoopMonitor.start(timer);
    await timer.sleep(220);
    const end = timer.now() + PAUSE_MILLISECONDS;
    while (timer.now() < end);
    await timer.sleep(120);
    const name = 'apricotlock_event_loop_delay_seconds';
    expect(read(monitor, name)).to.be.above(0.1);
    await timer.sleep(220);
    monitor.stop();
    expect(read(monitor, name)).to.be.below(0.1);
  });

  // Guards against a mean since the start, which hides a short overload.
  it('reports the utilization since the last reading', () => {
    let current = {active: 10, idle: 90, utilization: 0.1};
    const timer = ManualTimerService.create();
    const monitor = EventLoopMonitor.start(timer, () => current);
    current = {active: 40, idle: 100, utilization: 0.3};
    const name = 'apricotlock_event_loop_utilization';
    expect(read(monitor, name)).to.equal(0.75);
    expect(read(monitor, name)).to.equal(0);
  });
});
