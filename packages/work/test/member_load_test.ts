import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {MemberLoad} from '../src/member_load.js';

describe('MemberLoad', () => {
  // Guards against a report from which a busy member can't be told from one
  // that waits for messages.
  it('reports one period at a time, and nothing for an idle one', async () => {
    const timer = ManualTimerService.create();
    const load = MemberLoad.create(timer);
    load.recordStart(4);
    load.recordStart(8);
    load.recordEnd(20);
    load.recordRoundTrip(5);
    load.recordRefusal();
    load.recordOpened();
    await timer.advanceAsync(1_000);
    expect(load.endPeriod()).to.deep.equal({
      periodMilliseconds: 1_000,
      started: 2,
      ended: 1,
      refused: 1,
      opened: 1,
      meanWaitMilliseconds: 6,
      meanHeldMilliseconds: 20,
      meanRoundTripMilliseconds: 5,
    });
    expect(load.endPeriod()).to.equal(undefined);
  });
});
