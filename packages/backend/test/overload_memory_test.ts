import {expect} from 'chai';
import {createChannelPair} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {LeaseDown, LeaseRequest, LeaseUp} from '../src/lease_messages.js';
import {OverloadMemory} from '../src/overload_memory.js';

const REQUEST: LeaseRequest = {
  database: 'ledger',
  member: 'ledger-a',
  entry: 'holds',
  session: 'first',
  purpose: 'write',
  term: 1,
  floor: undefined,
  floorWaitMilliseconds: 0,
  queueMilliseconds: 1_000,
};

describe('OverloadMemory', () => {
  it('refuses for a part of the time that the owner named', async () => {
    const timer = ManualTimerService.create();
    const memory = OverloadMemory.create(timer);
    const pair = createChannelPair<LeaseUp, LeaseDown>();
    const watched = memory.watch(REQUEST, pair.caller);
    const refusal = {kind: 'overloaded', retryAfterMilliseconds: 400} as const;
    pair.called.send({kind: 'refused', refusal});
    await watched.receive();
    expect(memory.retryAfter(REQUEST)).to.equal(400);
    expect(memory.retryAfter({...REQUEST, entry: 'other'})).to.equal(undefined);
    timer.advance(100);
    expect(memory.retryAfter(REQUEST)).to.equal(undefined);
  });
});
