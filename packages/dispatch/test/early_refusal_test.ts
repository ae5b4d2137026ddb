import {expect} from 'chai';
import {ServiceTerms} from '@apricotlock/topology';
import {WorkRequest} from '@apricotlock/work';
import {cannotBeServed, RetrySpread} from '../src/early_refusal.js';
import {completed, Reply, ReplayedGroup} from './support/replayed_group.js';

const TERMS: ServiceTerms = {
  consistency: 'boundedStaleness',
  statementMilliseconds: 6_000,
  objectiveMilliseconds: 1_200,
  maximumStalenessMilliseconds: 1_500,
  priority: 2,
};

describe('cannotBeServed', () => {
  const NEW_READ = {
    remainingMilliseconds: 2_000,
    remainingObjectiveMilliseconds: 400,
    queueMilliseconds: 1_200,
  };

  function refuses(announcedWaitMilliseconds: number): boolean {
    return cannotBeServed({...NEW_READ, announcedWaitMilliseconds});
  }

  it('refuses what no queue would serve within the time limit', () => {
    expect(refuses(1_201)).to.equal(true);
    expect(refuses(60_000)).to.equal(true);
  });

  it('never refuses what a queue may serve', () => {
    expect(refuses(399)).to.equal(false);
    expect(refuses(1_200)).to.equal(false);
    const long = {
      remainingMilliseconds: 300,
      remainingObjectiveMilliseconds: 290,
    };
    expect(
      cannotBeServed({...NEW_READ, ...long, announcedWaitMilliseconds: 280}),
    ).to.equal(false);
  });
});

describe('RetrySpread', () => {
  it('spreads callers evenly over the time after the announced wait', () => {
    const spread = RetrySpread.startingAt(0.4);
    const tenths = new Array<number>(10).fill(0);
    for (let count = 0; count < 100; count++) {
      const milliseconds = spread.next(1_000);
      expect(milliseconds).to.be.within(1_000, 1_500);
      const tenth = Math.min(9, Math.floor((milliseconds - 1_000) / 50));
      tenths[tenth] = (tenths[tenth] ?? 0) + 1;
    }
    expect(Math.min(...tenths)).to.be.at.least(8);
  });
});

describe('statements beyond the capacity of all members', () => {
  let waitMilliseconds: number;
  let group: ReplayedGroup;

  /** A queue that admits work that may wait for as long as others wait. */
  function reply({waitMilliseconds: limit}: WorkRequest): Reply {
    if (limit >= waitMilliseconds) {
      const message = completed({term: 1, number: 1});
      return {message, afterMilliseconds: waitMilliseconds + 40};
    }
    const refusal = {
      reason: 'overloaded',
      retryAfterMilliseconds: waitMilliseconds,
    } as const;
    return {message: {kind: 'refused', refusal}, afterMilliseconds: 3};
  }

  beforeEach(() => {
    group = new ReplayedGroup(TERMS, reply);
  });

  // Guards against reads that are tried until 5.1 s have passed, and refused
  // only then.
  it('are refused at once, without asking the members each time', async () => {
    waitMilliseconds = 4_000;
    const retryTimes = new Set<number>();
    for (let count = 0; count < 20; count++) {
      const {outcome, milliseconds} = await group.read();
      if (outcome.kind !== 'notRun') throw new Error(`was ${outcome.kind}`);
      expect(milliseconds).to.be.below(50);
      retryTimes.add(outcome.retryAfterMilliseconds);
      await group.timer.advanceAsync(20);
    }
    expect(group.countOf('refusedEarly')).to.equal(20);
    // Three members, each asked again once 400 ms of its wait have passed.
    expect(group.requests.length).to.be.at.most(6);
    expect(retryTimes.size).to.be.above(15);
  });

  // Guards against a queue that admits reads for 270 ms only, whatever their
  // objective.
  it('are served if a queue allows that within their objective', async () => {
    waitMilliseconds = 500;
    const {outcome, milliseconds} = await group.read();
    expect(outcome.kind).to.equal('answered');
    expect(milliseconds).to.be.below(600);
  });

  it('are served late if a queue allows that within the time limit', async () => {
    waitMilliseconds = 2_000;
    const {outcome} = await group.read();
    expect(outcome.kind).to.equal('answered');
    expect(group.countOf('refusedEarly')).to.equal(0);
  });

  it('are refused at once at the primary too', async () => {
    waitMilliseconds = 4_000;
    const {outcome, milliseconds} = await group.read({readOnly: false});
    expect(outcome.kind).to.equal('notRun');
    expect(milliseconds).to.be.below(50);
  });
});
