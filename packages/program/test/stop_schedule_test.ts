import {expect} from 'chai';
import {scheduleStop} from '../src/stop_schedule.js';

const STARTED_AT = 10_000;

describe('scheduleStop', () => {
  it('accepts callers until the balancer has noticed', () => {
    const {acceptsCallersUntil} = scheduleStop(STARTED_AT, 6_000);
    expect(acceptsCallersUntil).to.equal(STARTED_AT + 2_300);
  });

  it('gives open transactions half of the grace period', () => {
    const {transactionsUntil} = scheduleStop(STARTED_AT, 6_000);
    expect(transactionsUntil).to.equal(STARTED_AT + 3_000);
  });

  // Guards against requests that are cut by the platform's SIGKILL, because the
  // VM still waits for the balancer.
  for (const graceMilliseconds of [500, 1_000, 2_000, 3_000]) {
    it(`drains sessions within a grace period of ${graceMilliseconds} ms`, () => {
      const schedule = scheduleStop(STARTED_AT, graceMilliseconds);
      const {acceptsCallersUntil, transactionsUntil} = schedule;
      const {endsAt, lingersUntil} = schedule;
      expect(acceptsCallersUntil).to.be.at.most(transactionsUntil);
      expect(transactionsUntil).to.be.below(endsAt);
      expect(endsAt).to.be.below(lingersUntil);
      expect(lingersUntil).to.be.below(STARTED_AT + graceMilliseconds);
    });
  }
});
