import {expect} from 'chai';
import {
  groupsToRefresh,
  refreshMilliseconds,
  TrackedGroup,
} from '../src/position_refresh.js';

const TICK_MILLISECONDS = 100;
const SECONDS = 30;
/** What the lease holder of a group is to answer at most, a second. */
const HOLDER_BUDGET = 300;

/**
 * Replays entry VMs that read all groups all the time. Returns the requests a
 * second for one group, the oldest sample of a VM, and the longest time in which
 * a VM asked nobody.
 */
function replay(machineCount: number, groupCount: number) {
  const sampledAt = Array.from({length: groupCount}, () => -Infinity);
  let requests = 0;
  let lastContactAt = 0;
  let longestSilence = 0;
  let oldestSample = 0;
  const end = SECONDS * 1_000;
  for (let now = 0; now < end; now += TICK_MILLISECONDS) {
    const groups = sampledAt.map((at, index): TrackedGroup => ({
      database: String(index),
      sampleAgeMilliseconds: now - at,
    }));
    for (const database of groupsToRefresh(groups, machineCount)) {
      sampledAt[Number(database)] = now;
      requests += 1;
      lastContactAt = now;
    }
    longestSilence = Math.max(longestSilence, now - lastContactAt);
    oldestSample = Math.max(oldestSample, ...sampledAt.map(at => now - at));
  }
  const perGroup = (requests * machineCount) / groupCount / SECONDS;
  return {perGroup, oldestSample, longestSilence};
}

describe('groupsToRefresh', () => {
  it('keeps the requests that a lease holder answers within its budget', () => {
    for (const [machines, groups] of [
      [30, 6],
      [93, 6],
      [200, 14],
    ] as const) {
      expect(replay(machines, groups).perGroup).to.be.at.most(HOLDER_BUDGET);
    }
  });

  it('keeps samples young enough for a bound of 1.5 s', () => {
    for (const machines of [6, 93, 200, 1_800]) {
      expect(replay(machines, 14).oldestSample).to.be.at.most(800);
    }
  });

  it('asks some lease holder often enough to notice that it is isolated', () => {
    for (const groups of [1, 2, 14]) {
      expect(replay(200, groups).longestSilence).to.be.at.most(300);
    }
  });

  it('asks as often as before on small systems', () => {
    expect(refreshMilliseconds(10)).to.equal(300);
    expect(groupsToRefresh([], 10)).to.deep.equal([]);
  });

  it('asks at once for a group without a sample', () => {
    const groups = [
      {database: 'known', sampleAgeMilliseconds: 50},
      {database: 'new', sampleAgeMilliseconds: Infinity},
    ];
    expect(groupsToRefresh(groups, 200)).to.deep.equal(['new']);
  });
});
