import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {RetryBudget, RetryCause} from '../src/retry_budget.js';
import {LOST, ReplayedGroup, READ_TERMS} from './support/replayed_group.js';

describe('RetryBudget', () => {
  let timer: ManualTimerService;
  let budget: RetryBudget;

  beforeEach(() => {
    timer = ManualTimerService.create();
    budget = RetryBudget.create(timer);
  });

  /** Asks for three retries after each first attempt, and counts them. */
  function replay(attempts: number, cause: RetryCause): number {
    let retries = 0;
    for (let count = 0; count < attempts; count++) {
      budget.recordFirstAttempt('a');
      for (let retry = 0; retry < 3; retry++) {
        if (budget.take('a', cause)) retries += 1;
      }
      timer.advance(10);
    }
    return retries;
  }

  it('keeps retries below a fifth of the first attempts, beside a few', () => {
    replay(1_000, 'failed');
    expect(replay(1_000, 'failed')).to.be.within(200, 215);
  });

  it('allows a few retries to a group with few statements', () => {
    expect(replay(5, 'refused')).to.equal(10);
    timer.advance(10_000);
    expect(replay(5, 'refused')).to.equal(10);
  });

  it('keeps a reserve for work that failed, and one budget for each group', () => {
    replay(20, 'refused');
    expect(budget.take('a', 'refused')).to.equal(false);
    expect(budget.take('a', 'failed')).to.equal(true);
    expect(budget.take('b', 'refused')).to.equal(true);
  });
});

describe('statements that every member fails or refuses', () => {
  // Guards against statements that are tried on all three members in each round
  // until their deadline.
  it('are retried within the budget', async () => {
    const group = new ReplayedGroup(READ_TERMS, () => ({
      message: LOST,
      afterMilliseconds: 5,
    }));
    const arrivals = 200;
    let ended = 0;
    for (let count = 0; count < arrivals; count++) {
      void group.start().then(() => (ended += 1));
      await group.timer.advanceAsync(100);
    }
    while (ended < arrivals) await group.timer.advanceAsync(10);
    const retries = group.requests.length - arrivals;
    expect(retries).to.be.at.most(0.2 * arrivals + 15 + 22);
    expect(group.countOf('retryDenied')).to.be.above(0);
  });
});
