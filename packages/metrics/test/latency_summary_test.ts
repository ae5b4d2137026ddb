import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {LatencySummary} from '../src/index.js';

describe('LatencySummary', () => {
  const NAME = 'duration_seconds';
  const LABELS = 'kind="read"';

  function valueOf(summary: LatencySummary, suffix: string): number {
    const line = summary
      .render(NAME, LABELS)
      .find(each => each.startsWith(`${NAME}${suffix}`));
    return Number(line?.split(' ').at(-1));
  }

  function quantile(summary: LatencySummary, fraction: number): number {
    return valueOf(summary, `{${LABELS},quantile="${fraction}"}`);
  }

  it('reports quantiles in seconds, to two significant digits', () => {
    const summary = LatencySummary.create(ManualTimerService.create());
    for (let value = 1; value <= 100; value++) summary.record(value);
    expect(quantile(summary, 0.5)).to.be.closeTo(0.05, 0.002);
    expect(quantile(summary, 0.99)).to.be.closeTo(0.099, 0.002);
    expect(valueOf(summary, `_count{${LABELS}}`)).to.equal(100);
    expect(valueOf(summary, `_sum{${LABELS}}`)).to.be.closeTo(5.05, 1e-9);
  });

  it('accepts durations of several hours', () => {
    const summary = LatencySummary.create(ManualTimerService.create());
    summary.record(7_200_000);
    expect(quantile(summary, 0.5)).to.be.closeTo(7_200, 80);
  });

  it('drops quantiles after two minutes, but keeps the count', () => {
    const timer = ManualTimerService.create();
    const summary = LatencySummary.create(timer);
    summary.record(500);
    timer.advance(150_000);
    summary.record(1);
    expect(quantile(summary, 0.999)).to.be.below(0.01);
    expect(valueOf(summary, `_count{${LABELS}}`)).to.equal(2);
  });
});
