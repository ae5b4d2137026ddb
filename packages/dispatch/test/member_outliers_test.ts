import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {DatabaseGroup} from '@apricotlock/topology';
import {WorkRequest} from '@apricotlock/work';
import {MemberOutliers} from '../src/member_outliers.js';
import {
  completed,
  failed,
  Reply,
  ReplayedGroup,
  READ_TERMS,
} from './support/replayed_group.js';

const KIND = 'reads';
const GROUP = {
  database: 'ledger',
  members: ['a', 'b', 'c'].map(name => ({name, state: 'active'})),
} as unknown as DatabaseGroup;

describe('MemberOutliers', () => {
  let timer: ManualTimerService;
  let outliers: MemberOutliers;

  beforeEach(() => {
    timer = ManualTimerService.create();
    outliers = MemberOutliers.create(timer);
  });

  function succeed(member: string, times: number, milliseconds = 20): void {
    for (let count = 0; count < times; count++) {
      outliers.recordSuccess(GROUP, member, KIND, milliseconds);
    }
  }

  /** Fails reads until the member is ejected, and returns for how long. */
  function failUntilEjected(member: string): number {
    for (let count = 0; count < 10; count++) {
      const ejection = outliers.recordFailure(GROUP, member);
      if (ejection !== undefined) return ejection.milliseconds;
    }
    return 0;
  }

  it('ejects a member that fails a share of its reads, for longer each time', () => {
    succeed('b', 10);
    succeed('a', 6);
    expect(failUntilEjected('a')).to.equal(1_000);
    expect(outliers.isEjected('a')).to.equal(true);
    timer.advance(1_100);
    expect(failUntilEjected('a')).to.equal(2_000);
    for (let count = 0; count < 10; count++) {
      timer.advance(31_000);
      succeed('b', 10);
      expect(failUntilEjected('a')).to.be.within(1_000, 30_000);
    }
  });

  it('does not eject members that all fail as often', () => {
    for (let count = 0; count < 10; count++) {
      for (const member of ['a', 'b', 'c']) {
        expect(outliers.recordFailure(GROUP, member)).to.equal(undefined);
      }
    }
  });

  it('forgets members that are no longer in the view', () => {
    succeed('b', 10);
    failUntilEjected('a');
    outliers.retain(new Set(['b']));
    expect(outliers.isEjected('a')).to.equal(false);
  });

  it('ejects at most half of the members', () => {
    succeed('a', 10);
    succeed('b', 3);
    succeed('c', 3);
    expect(failUntilEjected('b')).to.be.above(0);
    expect(failUntilEjected('c')).to.equal(0);
    expect(outliers.isEjected('c')).to.equal(false);
  });

  it('returns a member to its share of reads slowly', () => {
    succeed('b', 10);
    failUntilEjected('a');
    timer.advance(1_000);
    const admitted = [0, 0];
    for (const part of [0, 1]) {
      for (let count = 0; count < 25; count++) {
        timer.advance(100);
        if (!outliers.isEjected('a')) {
          admitted[part] = (admitted[part] ?? 0) + 1;
        }
      }
    }
    expect(admitted[0]).to.be.within(4, 10);
    expect(admitted[1]).to.be.within(16, 23);
    timer.advance(100);
    expect(outliers.isEjected('a')).to.equal(false);
  });

  // Guards against ejections by a VM that itself waited for its processor,
  // which takes hundreds of milliseconds at times.
  it('does not eject a member for a few long latencies', () => {
    succeed('b', 8, 20);
    for (let count = 0; count < 20; count++) {
      succeed('a', 5, 20);
      succeed('a', 1, 900);
      succeed('b', 1, 20);
    }
    expect(outliers.isEjected('a')).to.equal(false);
  });

  it('ejects a member that is much slower at the same work', () => {
    succeed('b', 8, 20);
    succeed('c', 8, 24);
    succeed('a', 3, 200);
    expect(outliers.isEjected('a')).to.equal(false);
    succeed('a', 3, 200);
    expect(outliers.isEjected('a')).to.equal(true);
  });
});

describe('reads of a member that fails while it looks healthy', () => {
  let failing: string | undefined;
  let group: ReplayedGroup;

  function reply({member}: WorkRequest): Reply {
    const fails = member === failing && group.requestsTo(member) % 3 === 0;
    const message = fails ? failed('failed') : completed({term: 1, number: 1});
    return {message, afterMilliseconds: 20};
  }

  async function replay(reads: number): Promise<number> {
    let failures = 0;
    for (let count = 0; count < reads; count++) {
      const {outcome} = await group.read();
      const isComplete =
        outcome.kind === 'answered' && outcome.answer.end.kind === 'complete';
      if (!isComplete) failures += 1;
      await group.timer.advanceAsync(500);
    }
    return failures;
  }

  beforeEach(() => {
    group = new ReplayedGroup(READ_TERMS, reply);
    failing = 'first';
  });

  // Guards against a member that fails reads and keeps its share of them, with
  // its errors passed to callers.
  it('are answered by another member, and rarely sent to that one', async () => {
    expect(await replay(120)).to.equal(0);
    expect(group.countOf('failedElsewhere')).to.be.above(0);
    const before = group.requestsTo('first');
    expect(await replay(120)).to.equal(0);
    // A fifth of the share that it would have as a healthy member.
    expect(group.requestsTo('first') - before).to.be.at.most(12);
  });

  it('return to the member once it works again', async () => {
    await replay(60);
    failing = undefined;
    await replay(80);
    const before = group.requestsTo('first');
    await replay(20);
    expect(group.requestsTo('first') - before).to.equal(10);
  });

  it('receive the error if the statement itself fails everywhere', async () => {
    const everywhere = new ReplayedGroup(READ_TERMS, () => ({
      message: failed('failed'),
      afterMilliseconds: 5,
    }));
    const {outcome} = await everywhere.read();
    expect(everywhere.requests).to.have.length(2);
    const [{member} = {member: ''}] = everywhere.requests;
    expect(outcome).to.deep.include({kind: 'answered', member});
  });
});
