import {expect} from 'chai';
import {QueueRequester} from '../src/index.js';
import {QueuedMember, settle} from './queued_member.js';

const HIGH = 1;
const LOW = 2;

describe('WorkQueue with organisations', () => {
  const LONG = 100_000;
  const A = {organisation: 'a'};
  const B = {organisation: 'b'};

  async function startOrder(
    member: QueuedMember,
    count: number,
  ): Promise<string> {
    const before = member.started.length;
    for (let ended = 0; ended < count; ended++) await member.finish(12);
    return member.started.slice(before).join('');
  }

  function submitMany(
    member: QueuedMember,
    count: number,
    requester: QueueRequester,
    priority = LOW,
  ): void {
    for (let each = 0; each < count; each++) {
      const name = requester.organisation ?? '';
      void member.submit(name, priority, LONG, LONG, requester);
    }
  }

  it('shares slots equally, whatever the length of a backlog', async () => {
    const member = new QueuedMember(1, 100);
    submitMany(member, 20, A);
    submitMany(member, 3, B);
    await settle();
    expect(await startOrder(member, 8)).to.equal('bababaaa');
  });

  it('shares slots by the weights of organisations', async () => {
    const member = new QueuedMember(1, 100);
    submitMany(member, 20, {...A, organisationPriority: 1});
    submitMany(member, 20, {...B, organisationPriority: 0});
    await settle();
    const order = await startOrder(member, 12);
    expect(order.replaceAll('a', '')).to.have.lengthOf(8);
  });

  it('gives no claim to a share that was not used', async () => {
    const member = new QueuedMember(1, 100);
    submitMany(member, 20, A);
    await startOrder(member, 10);
    submitMany(member, 10, B);
    expect(await startOrder(member, 6)).to.equal('bababa');
  });

  it('puts the priority of work before shares', async () => {
    const member = new QueuedMember(1, 100);
    submitMany(member, 5, B);
    submitMany(member, 5, A, HIGH);
    await settle();
    expect(await startOrder(member, 6)).to.equal('aaaaab');
  });

  it('counts the statements of transactions towards the share', async () => {
    const member = new QueuedMember(1, 100);
    submitMany(member, 6, A);
    submitMany(member, 6, B);
    const owner = {
      ...A,
      priority: LOW,
      waitMilliseconds: LONG,
      objectiveMilliseconds: LONG,
    };
    for (let count = 0; count < 3; count++) {
      void member.queue.acquireTransactionSlot(LONG, owner);
    }
    await settle();
    // Three statements of a transaction, then what they cost.
    expect(await startOrder(member, 8)).to.equal('bbbba');
  });

  it('skips work whose organisation has no free connection', async () => {
    const member = new QueuedMember(2, 1);
    submitMany(member, 2, A);
    submitMany(member, 2, B);
    await settle();
    expect(member.started).to.deep.equal(['a']);
  });

  it('refuses no work of an organisation because of a backlog of another', async () => {
    const member = new QueuedMember(1, 100);
    submitMany(member, 50, A);
    const refused = member.submit('a', LOW, 100, 100, A);
    const admitted = member.submit('b', LOW, 100, 100, B);
    expect((await refused).isLeft()).to.equal(true);
    await member.finish(12);
    expect((await admitted).isRight()).to.equal(true);
    expect(member.queue.expectedWaitOf(A)).to.be.above(
      member.queue.expectedWaitOf(B),
    );
  });
});
