import {expect} from 'chai';
import {WorkRequest} from '@apricotlock/work';
import {PrimaryTimeline} from '../src/primary_timeline.js';
import {
  completed,
  failed,
  Reply,
  READ_TERMS,
  ReplayedGroup,
} from './support/replayed_group.js';

const TERMS = {...READ_TERMS, consistency: 'readYourWrites'} as const;
const WRITE_INTERVAL_MILLISECONDS = 50;
const OVERLOADED: Reply = {
  message: {
    kind: 'refused',
    refusal: {reason: 'overloaded', retryAfterMilliseconds: 900},
  },
  afterMilliseconds: 1,
};
const UNREACHABLE: Reply = {
  message: {
    kind: 'refused',
    refusal: {reason: 'unreachable', retryAfterMilliseconds: 200},
  },
  afterMilliseconds: 1,
};

/** A report without any delay. */
function at(time: number) {
  return {requestedAt: time, receivedAt: time};
}

describe('PrimaryTimeline', () => {
  it('bounds the lag of a member between two positions of the primary', () => {
    const timeline = PrimaryTimeline.create();
    timeline.record('a', {term: 1, number: 10}, at(1_000));
    timeline.record('a', {term: 1, number: 10}, at(1_400));
    timeline.record('a', {term: 1, number: 20}, at(1_500));
    const between = {term: 1, number: 15};
    expect(timeline.lagBounds('a', between, at(1_600))).to.deep.equal({
      atLeast: 100,
      atMost: 200,
    });
    const newer = {term: 1, number: 21};
    expect(timeline.lagBounds('a', newer, at(1_600)).atLeast).to.equal(0);
    expect(timeline.lagBounds('b', newer, at(1_600)).atMost).to.equal(Infinity);
  });

  it('bounds the lag too although a VM reads answers late', () => {
    const timeline = PrimaryTimeline.create();
    const position = {term: 1, number: 10};
    const late = {requestedAt: 1_000, receivedAt: 1_300};
    timeline.record('a', position, late);
    const bounds = timeline.lagBounds(
      'a',
      {term: 1, number: 9},
      {requestedAt: 1_350, receivedAt: 1_700},
    );
    expect(bounds).to.deep.equal({atLeast: 50, atMost: Infinity});
  });

  it('forgets positions of a term that a failover has ended', () => {
    const timeline = PrimaryTimeline.create();
    timeline.record('a', {term: 1, number: 30}, at(1_000));
    timeline.record('a', {term: 2, number: 20}, at(1_100));
    const {atLeast} = timeline.lagBounds('a', {term: 1, number: 20}, at(1_200));
    expect(atLeast).to.equal(100);
  });
});

describe('reads of replicas that lag', () => {
  let group: ReplayedGroup;
  let lagMilliseconds: number;
  let isPrimaryFull: boolean;
  let isPrimaryLost: boolean;

  /** The primary writes steadily; replicas have its log of some time ago. */
  function numberAt(time: number): number {
    return 1 + Math.floor(Math.max(0, time) / WRITE_INTERVAL_MILLISECONDS);
  }

  function reply({member, first}: WorkRequest): Reply {
    if (member === 'primary' && isPrimaryLost) return UNREACHABLE;
    if (member === 'primary' && isPrimaryFull) return OVERLOADED;
    const lag = member === 'primary' ? 0 : lagMilliseconds;
    const position = {term: 1, number: numberAt(group.timer.now() - lag)};
    const isBehind = position.number < (first.floor?.number ?? 0);
    const message = isBehind ? failed('behind', position) : completed(position);
    return {message, afterMilliseconds: isBehind ? 2 : 24};
  }

  /** Reads once in each period, each time soon after a write. */
  async function replay(reads: number, age: number): Promise<number> {
    const periodMilliseconds = 250;
    const behind = group.countOf('behind');
    for (let count = 0; count < reads; count++) {
      const at = group.timer.now();
      group.sample = {
        term: 1,
        requestedAt: at - 400,
        position: {term: 1, number: numberAt(at - 400)},
      };
      const position = {term: 1, number: numberAt(at - age)};
      const {milliseconds} = await group.read({
        ownWrite: {position, at: at - age},
      });
      expect(milliseconds).to.be.below(400);
      await group.timer.advanceAsync(periodMilliseconds - milliseconds);
    }
    return group.countOf('behind') - behind;
  }

  beforeEach(async () => {
    lagMilliseconds = 150;
    isPrimaryFull = false;
    isPrimaryLost = false;
    group = new ReplayedGroup(TERMS, reply);
    await group.timer.advanceAsync(10_000);
  });

  // Guards against a known lag that is forgotten within a second, and learned
  // again by a failed read, which costs a round trip and a slot.
  it('are rarely answered as behind', async () => {
    expect(await replay(40, 100)).to.be.at.most(4);
  });

  it('wait for a replica to catch up while the primary is full', async () => {
    await replay(4, 100);
    isPrimaryFull = true;
    expect(await replay(8, 100)).to.be.at.most(2);
    expect(group.countOf('waitedForReplica')).to.be.above(4);
  });

  it('go to the primary while replicas lag by seconds, and return', async () => {
    lagMilliseconds = 3_000;
    await replay(20, 1_000);
    const before = group.requestsTo('primary');
    expect(before).to.be.within(16, 20);
    lagMilliseconds = 90;
    await replay(20, 1_000);
    await replay(10, 1_000);
    expect(group.requestsTo('primary') - before).to.be.at.most(22);
    expect(group.requests.slice(-5).map(({member}) => member)).not.to.include(
      'primary',
    );
  });

  // Guards against reads that are held until their time is over, although the
  // replicas are known to lag by seconds and the primary announces a long wait.
  it('are refused at once if no member can serve them in time', async () => {
    lagMilliseconds = 6_000;
    await replay(10, 1_000);
    isPrimaryFull = true;
    const terms = {...TERMS, statementMilliseconds: 800};
    for (let count = 0; count < 10; count++) {
      const at = group.timer.now() - 1_000;
      const position = {term: 1, number: numberAt(at)};
      const ownWrite = {position, at};
      const {outcome, milliseconds} = await group.read({terms, ownWrite});
      expect(outcome.kind).to.equal('notRun');
      expect(milliseconds).to.be.below(50);
      await group.timer.advanceAsync(20);
    }
  });

  // A new primary serves them sooner than a replica that lags.
  it('are held while the group has no primary', async () => {
    lagMilliseconds = 6_000;
    await replay(10, 1_000);
    isPrimaryLost = true;
    group.removePrimary();
    const at = group.timer.now() - 1_000;
    const ownWrite = {position: {term: 1, number: numberAt(at)}, at};
    const terms = {...TERMS, statementMilliseconds: 800};
    const {milliseconds} = await group.read({terms, ownWrite});
    expect(milliseconds).to.be.above(600);
  });

  it('try a replica from time to time if no other member can serve', async () => {
    lagMilliseconds = 3_000;
    await replay(4, 1_000);
    lagMilliseconds = 90;
    isPrimaryFull = true;
    const {outcome} = await group.read({
      ownWrite: {
        position: {term: 1, number: numberAt(group.timer.now() - 1_000)},
        at: group.timer.now() - 1_000,
      },
    });
    expect(outcome.kind).to.equal('answered');
  });
});
