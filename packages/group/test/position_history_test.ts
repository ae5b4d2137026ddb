import {expect} from 'chai';
import {PositionHistory} from '../src/index.js';

describe('PositionHistory', () => {
  function historyOf(...notes: ReadonlyArray<readonly [bigint, number]>) {
    const history = PositionHistory.create();
    for (const [position, askedAt] of notes) history.note(position, askedAt);
    return history;
  }

  it('gives the last time at which a position was the newest', () => {
    const history = historyOf([10n, 100], [10n, 400], [20n, 600]);
    expect(history.timeOf(10n)).to.equal(400);
    expect(history.timeOf(19n)).to.equal(400);
    expect(history.timeOf(25n)).to.equal(600);
  });

  it('knows nothing of what was before it began', () => {
    expect(historyOf([10n, 100]).timeOf(9n)).to.equal(undefined);
  });

  it('never takes state to be newer than it is when it leaves entries out', () => {
    const history = historyOf([10n, 100], [20n, 110], [30n, 120]);
    expect(history.timeOf(20n)).to.equal(100);
  });

  it('forgets what is too old', () => {
    const history = historyOf([10n, 0], [20n, 700_000]);
    expect(history.timeOf(10n)).to.equal(undefined);
  });
});
