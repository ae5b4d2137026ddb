import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {LatencySummary} from '../src/index.js';

describe('LatencySummary', () => {
  const NAME = 'duration_seconds';
  const LABELS = 'kind="read"';

  function valueOf(summary: LatencySummary, end: string): number {
    const line = summary
      .lines(NAME, LABELS)
      .find(each => each.startsWith(`${NAME}${end}`));
    return Number(line?.split(' ').at(-1));
  }

  function quantile(summary: LatencySummary, share: number): number {
    return valueOf(summary, `{${LABELS},quantile="${share}"}`);
  }

  it('gives quantiles in seconds, to two digits', () => {
    const summary = LatencySummary.create(ManualTimerService.create());
    for (let value = 1; value <= 100; value++) summary.record(value);
    expect(quantile(summary, 0.5)).to.be.closeTo(0.05, 0.002);
    expect(quantile(summary, 0.99)).to.be.closeTo(0.099, 0.002);
    expect(valueOf(summary, `_count{${LABELS}}`)).to.equal(100);
    expect(valueOf(summary, `_sum{${LABELS}}`)).to.be.closeTo(5.05, 1e-9);
  });

  it('takes durations of hours', () => {
    const summary = LatencySummary.create(ManualTimerService.create());
    summary.record(7_200_000);
    expect(quantile(summary, 0.5)).to.be.closeTo(7_200, 80);
  });

  it('forgets quantiles after two minutes, but not the count', () => {
    const timer = ManualTimerService.create();
    const summary = LatencySummary.create(timer);
    summary.record(500);
    timer.advance(150_000);
    summary.record(1);
    expect(quantile(summary, 0.999)).to.be.below(0.01);
    expect(valueOf(summary, `_count{${LABELS}}`)).to.equal(2);
  });
});
