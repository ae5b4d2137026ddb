import {expect} from 'chai';
import {createChannelPair} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {AnswerRelay} from '../src/answer_relay.js';
import {LeaseInbox} from '../src/lease_inbox.js';
import {LeaseOwnerMessage, LeaseClientMessage} from '../src/lease_messages.js';
import {settle} from './fake_backend.js';

const LARGE_BYTES = 2 << 20;

describe('AnswerRelay', () => {
  let timer: ManualTimerService;

  beforeEach(() => {
    timer = ManualTimerService.create();
  });

  function createRelay(confirmed: boolean) {
    const pair = createChannelPair<LeaseClientMessage, LeaseOwnerMessage>();
    const inbox = LeaseInbox.start(pair.server, timer);
    const waitUntilConfirmed = async () => confirmed;
    const {server: channel, client} = pair;
    const options = {channel, inbox, timer, waitUntilConfirmed};
    return {client, relay: AnswerRelay.create(options)};
  }

  it('sends a part and continues when the client asks for more', async () => {
    const {client, relay} = createRelay(true);
    const appended = relay.append(Buffer.alloc(LARGE_BYTES));
    expect(await client.receive()).to.include({kind: 'answer'});
    client.send({kind: 'more'});
    expect(await appended).to.equal(true);
  });

  it('fails without sending a part that is not confirmed', async () => {
    const {relay} = createRelay(false);
    expect(await relay.append(Buffer.alloc(LARGE_BYTES))).to.equal(false);
  });

  it('fails when the client does not ask for more within 60 s', async () => {
    const {relay} = createRelay(true);
    const appended = relay.append(Buffer.alloc(LARGE_BYTES));
    await settle();
    timer.advance(60_000);
    expect(await appended).to.equal(false);
  });
});
