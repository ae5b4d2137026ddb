import {expect} from 'chai';
import {createChannelPair} from '../src/index.js';

const WINDOW_BYTES = 256 << 10;
const MESSAGE_BYTES = 32 << 10;

interface Message {
  readonly number: number;
  readonly bytes: Buffer;
}

function newMessage(number: number): Message {
  return {number, bytes: Buffer.alloc(MESSAGE_BYTES)};
}

describe('PeerChannel', () => {
  it('blocks a sender whose receiver consumes nothing', async () => {
    const {client} = createChannelPair<Message, Message>();
    let sent = 0;
    const sender = (async () => {
      for (; sent < 1_000; sent++) {
        client.send(newMessage(sent));
        await client.writable();
      }
    })();
    await new Promise(setImmediate);
    expect(sent * MESSAGE_BYTES).to.be.at.most(WINDOW_BYTES);
    client.end();
    await sender;
  });

  it('delivers all messages in order to a receiver that catches up', async () => {
    const {client, server} = createChannelPair<Message, Message>();
    const sender = (async () => {
      for (let number = 0; number < 100; number++) {
        client.send(newMessage(number));
        await client.writable();
      }
    })();
    for (let number = 0; number < 100; number++) {
      expect((await server.receive())?.number).to.equal(number);
    }
    await sender;
  });

  it('delivers messages that wait for the window before it ends', async () => {
    const {client, server} = createChannelPair<Message, Message>();
    for (let number = 0; number < 20; number++) client.send(newMessage(number));
    client.end();
    let received = 0;
    while ((await server.receive()) !== undefined) received += 1;
    expect(received).to.equal(20);
  });

  it('ends when a sender that does not wait exceeds the queue limit', () => {
    const {client} = createChannelPair<Message, Message>();
    let sent = 0;
    while (sent < 1_000 && client.send(newMessage(sent))) sent += 1;
    expect(sent * MESSAGE_BYTES).to.be.at.most(5 << 20);
  });
});
