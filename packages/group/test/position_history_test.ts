import {expect} from 'chai';
import {PositionHistory} from '../src/index.js';

describe('PositionHistory', () => {
  function createHistory(...samples: ReadonlyArray<readonly [bigint, number]>) {
    const history = PositionHistory.create();
    for (const [position, time] of samples) history.record(position, time);
    return history;
  }

  it('returns the last time at which a position was the newest', () => {
    const history = createHistory([10n, 100], [10n, 400], [20n, 600]);
    expect(history.timeOf(10n)).to.equal(400);
    expect(history.timeOf(19n)).to.equal(400);
    expect(history.timeOf(25n)).to.equal(600);
  });

  it('returns undefined for a position before the first sample', () => {
    expect(createHistory([10n, 100]).timeOf(9n)).to.equal(undefined);
  });

  it('never underestimates the age of data when it skips samples', () => {
    const history = createHistory([10n, 100], [20n, 110], [30n, 120]);
    expect(history.timeOf(20n)).to.equal(100);
  });

  it('drops samples that are too old', () => {
    const history = createHistory([10n, 0], [20n, 700_000]);
    expect(history.timeOf(10n)).to.equal(undefined);
  });
});
