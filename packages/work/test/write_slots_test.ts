import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {WriteSlots} from '../src/write_slots.js';

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

// A promoted member whose replicas receive nothing: each commit keeps its slot,
// and only this member has what the reads need.
describe('WriteSlots', () => {
  let timer: ManualTimerService;
  let slots: WriteSlots;

  beforeEach(() => {
    timer = ManualTimerService.create();
    slots = WriteSlots.create({slots: 2, timer});
  });

  it('leaves a slot to reads until a commit of the term is confirmed', async () => {
    expect(await slots.acquire(2, 100)).to.equal(true);
    const second = slots.acquire(2, 100);
    await timer.advanceAsync(150);
    expect(await second).to.equal(false);
    slots.recordWrite(2);
    expect(await slots.acquire(2, 100)).to.equal(true);
  });

  it('counts a confirmation of an earlier term for nothing', async () => {
    await slots.acquire(1, 100);
    slots.recordWrite(1);
    slots.release();
    expect(await slots.acquire(2, 100)).to.equal(true);
    const second = slots.acquire(2, 100);
    await timer.advanceAsync(150);
    expect(await second).to.equal(false);
  });

  it('admits waiting writes in order as others end', async () => {
    await slots.acquire(2, 100);
    const order: string[] = [];
    void slots.acquire(2, 100).then(() => order.push('first'));
    void slots.acquire(2, 100).then(() => order.push('second'));
    slots.release();
    await settle();
    expect(order).to.deep.equal(['first']);
    slots.release();
    await settle();
    expect(order).to.deep.equal(['first', 'second']);
  });

  it('admits all waiting writes once a commit is confirmed', async () => {
    await slots.acquire(2, 100);
    const waiting = [slots.acquire(2, 100), slots.acquire(2, 100)];
    slots.recordWrite(2);
    expect(await Promise.all(waiting)).to.deep.equal([true, true]);
  });

  it('leaves a slot to reads again after a stall', async () => {
    await slots.acquire(2, 100);
    slots.recordWrite(2);
    slots.recordStall();
    const second = slots.acquire(2, 100);
    await timer.advanceAsync(150);
    expect(await second).to.equal(false);
    slots.release();
    expect(await slots.acquire(2, 100)).to.equal(true);
  });

  it('admits writes in turn on a member with one slot', async () => {
    slots = WriteSlots.create({slots: 1, timer});
    expect(await slots.acquire(2, 100)).to.equal(true);
    const next = slots.acquire(2, 100);
    slots.release();
    expect(await next).to.equal(true);
  });

  // Work that consists of transactions alone would stay limited for good.
  it('takes the end of a transaction for a confirmation without stalls', async () => {
    await slots.acquire(2, 100);
    slots.recordTransactionEnd(2);
    const second = slots.acquire(2, 100);
    await timer.advanceAsync(150);
    expect(await second).to.equal(false);
    await timer.advanceAsync(1_000);
    slots.recordTransactionEnd(2);
    expect(await slots.acquire(2, 100)).to.equal(true);
  });
});
