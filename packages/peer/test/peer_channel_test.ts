import {expect} from 'chai';
import {createChannelPair} from '../src/index.js';

const WINDOW_BYTES = 256 << 10;
const MESSAGE_BYTES = 32 << 10;

interface Message {
  readonly number: number;
  readonly bytes: Buffer;
}

function message(number: number): Message {
  return {number, bytes: Buffer.alloc(MESSAGE_BYTES)};
}

describe('PeerChannel', () => {
  it('holds back a sender whose receiver takes nothing', async () => {
    const {caller} = createChannelPair<Message, Message>();
    let sent = 0;
    const sender = (async () => {
      for (; sent < 1_000; sent++) {
        caller.send(message(sent));
        await caller.writable();
      }
    })();
    await new Promise(setImmediate);
    expect(sent * MESSAGE_BYTES).to.be.at.most(WINDOW_BYTES);
    caller.end();
    await sender;
  });

  it('delivers all in order to a receiver that catches up', async () => {
    const {caller, called} = createChannelPair<Message, Message>();
    const sender = (async () => {
      for (let number = 0; number < 100; number++) {
        caller.send(message(number));
        await caller.writable();
      }
    })();
    for (let number = 0; number < 100; number++) {
      expect((await called.receive())?.number).to.equal(number);
    }
    await sender;
  });

  it('delivers what waits for the window before the end', async () => {
    const {caller, called} = createChannelPair<Message, Message>();
    for (let number = 0; number < 20; number++) caller.send(message(number));
    caller.end();
    let received = 0;
    while ((await called.receive()) !== undefined) received += 1;
    expect(received).to.equal(20);
  });

  it('ends when a sender does not wait and the bound is passed', () => {
    const {caller} = createChannelPair<Message, Message>();
    let sent = 0;
    while (sent < 1_000 && caller.send(message(sent))) sent += 1;
    expect(sent * MESSAGE_BYTES).to.be.at.most(5 << 20);
  });
});
