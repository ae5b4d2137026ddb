import {expect} from 'chai';
import {createChannelPair} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {
  LeaseOwnerMessage,
  LeaseRequest,
  LeaseClientMessage,
} from '../src/lease_messages.js';
import {OverloadCache} from '../src/overload_cache.js';

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

describe('OverloadCache', () => {
  it('refuses for a fraction of the returned retry delay', async () => {
    const timer = ManualTimerService.create();
    const cache = OverloadCache.create(timer);
    const pair = createChannelPair<LeaseClientMessage, LeaseOwnerMessage>();
    const observed = cache.observe(REQUEST, pair.client);
    const refusal = {kind: 'overloaded', retryAfterMilliseconds: 400} as const;
    pair.server.send({kind: 'refused', refusal});
    await observed.receive();
    expect(cache.getRetryDelay(REQUEST)).to.equal(400);
    expect(cache.getRetryDelay({...REQUEST, entry: 'other'})).to.equal(
      undefined,
    );
    timer.advance(100);
    expect(cache.getRetryDelay(REQUEST)).to.equal(undefined);
  });
});
