import {expect} from 'chai';
import {createChannelPair} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {AnswerRelay} from '../src/answer_relay.js';
import {LeaseInbox} from '../src/lease_inbox.js';
import {LeaseDown, LeaseUp} from '../src/lease_messages.js';
import {settle} from './fake_backend.js';

const LARGE_BYTES = 2 << 20;

describe('AnswerRelay', () => {
  let timer: ManualTimerService;

  beforeEach(() => {
    timer = ManualTimerService.create();
  });

  function relay(confirmed: boolean) {
    const pair = createChannelPair<LeaseUp, LeaseDown>();
    const inbox = LeaseInbox.of(pair.called, timer);
    const confirm = async () => confirmed;
    const {called: channel, caller} = pair;
    const options = {channel, inbox, timer, confirm};
    return {caller, relay: AnswerRelay.create(options)};
  }

  it('passes a part on, and goes on once the holder wants more', async () => {
    const {caller, relay: answer} = relay(true);
    const taken = answer.take(Buffer.alloc(LARGE_BYTES));
    expect(await caller.receive()).to.include({kind: 'answer'});
    caller.send({kind: 'more'});
    expect(await taken).to.equal(true);
  });

  it('passes nothing on that is not confirmed', async () => {
    const {relay: answer} = relay(false);
    expect(await answer.take(Buffer.alloc(LARGE_BYTES))).to.equal(false);
  });

  it('gives up a holder that takes no more', async () => {
    const {relay: answer} = relay(true);
    const taken = answer.take(Buffer.alloc(LARGE_BYTES));
    await settle();
    timer.advance(60_000);
    expect(await taken).to.equal(false);
  });
});
