import {expect} from 'chai';
import {retryPause} from '../src/index.js';

describe('retryPause', () => {
  describe('in the first seconds after an outage', () => {
    const WAITING_STATEMENTS = 100;
    const OUTAGE_MILLISECONDS = 500;

    it('retries less and less often while no lease of the primary is granted', () => {
      let attempts = 0;
      let at = 0;
      while (at < OUTAGE_MILLISECONDS) {
        attempts += 1;
        at += retryPause({attempts, expectedWaitMilliseconds: undefined});
      }
      // A retry every 15 ms would be 34 attempts for each statement.
      expect(attempts * WAITING_STATEMENTS).to.be.below(1_300);
      expect(at - OUTAGE_MILLISECONDS).to.be.below(61);
    });

    it('retries full queues after half of their announced wait', () => {
      const pause = (expectedWaitMilliseconds: number) =>
        retryPause({attempts: 1, expectedWaitMilliseconds});
      expect(pause(200)).to.equal(100);
      expect(pause(2_000)).to.equal(150);
      expect(pause(1)).to.equal(15);
    });
  });

  it('pauses only briefly after a first failure', () => {
    const failedAttempts = {attempts: 1, expectedWaitMilliseconds: undefined};
    expect(retryPause(failedAttempts)).to.equal(15);
  });
});
