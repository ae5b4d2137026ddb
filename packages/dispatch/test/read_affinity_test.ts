import {expect} from 'chai';
import {Organisation} from '@apricotlock/topology';
import {WorkRequest} from '@apricotlock/work';
import {
  completed,
  Reply,
  ReplayedGroup,
  READ_TERMS,
} from './support/replayed_group.js';

const ORGANISATIONS = 82;
/** An organisation at seven times its rate keeps the queue as long as this. */
const QUEUE_MILLISECONDS = 40;

describe('reads of organisations', () => {
  let busyMember: string | undefined;
  let group: ReplayedGroup;

  function reply({member}: WorkRequest): Reply {
    const expectedWaitMilliseconds =
      member === busyMember ? QUEUE_MILLISECONDS : 0;
    const message = completed({term: 1, number: 1});
    return {
      message: {...message, expectedWaitMilliseconds} as typeof message,
      afterMilliseconds: 20 + expectedWaitMilliseconds,
    };
  }

  /** Returns the members to which reads of an organisation were sent. */
  async function membersFor(
    name: string,
    reads: number,
  ): Promise<readonly string[]> {
    const before = group.requests.length;
    const organisation: Organisation = {name, keyDigests: [], priority: 0};
    for (let count = 0; count < reads; count++) {
      await group.read({organisation});
    }
    return group.requests.slice(before).map(({member}) => member);
  }

  beforeEach(() => {
    busyMember = undefined;
    group = new ReplayedGroup(READ_TERMS, reply);
  });

  // Guards against reads of an organisation on both replicas, for which it
  // needs connections to both.
  it('go to one replica each, and to each replica about as often', async () => {
    let first = 0;
    for (let index = 0; index < ORGANISATIONS; index++) {
      const members = new Set(await membersFor(`organisation-${index}`, 4));
      expect(members.size).to.equal(1);
      if (members.has('first')) first += 1;
    }
    expect(first).to.be.within(ORGANISATIONS * 0.3, ORGANISATIONS * 0.7);
  });

  it('leave their replica while its queue is longer than others', async () => {
    const [preferred] = await membersFor('large', 1);
    busyMember = preferred;
    const members = await membersFor('large', 20);
    const kept = members.filter(member => member === preferred).length;
    expect(kept).to.be.below(10);
    busyMember = undefined;
    await group.timer.advanceAsync(10_000);
    expect(new Set(await membersFor('large', 10))).to.deep.equal(
      new Set([preferred]),
    );
  });

  it('take turns on the replicas without an organisation', async () => {
    for (let count = 0; count < 20; count++) await group.read();
    expect(group.requestsTo('first')).to.equal(10);
    expect(group.requestsTo('second')).to.equal(10);
  });
});
