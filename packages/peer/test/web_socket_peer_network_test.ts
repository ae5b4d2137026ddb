import {expect} from 'chai';
import {Left, Right} from 'purify-ts';
import {Logger} from '@apricotlock/logging';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {
  PeerCall,
  PeerConversation,
  WebSocketPeerNetwork,
} from '../src/index.js';

const asNumber = (candidate: unknown) =>
  typeof candidate === 'number' ? candidate : undefined;
const DOUBLE = PeerCall.define('double', asNumber, asNumber);
const COUNT = PeerConversation.define('count', asNumber, asNumber, asNumber);
const TIMEOUT_MILLISECONDS = 2_000;

function startNetwork(port: number, key = 'k') {
  return WebSocketPeerNetwork.start({
    listen: {host: '127.0.0.1', port},
    key,
    timer: SystemTimerService.create(),
    logger: Logger.silent(),
    maximumMessageBytes: 1 << 20,
  });
}

describe('WebSocketPeerNetwork', () => {
  const serverAddress = {host: '127.0.0.1', port: testPort(0)};
  let server: WebSocketPeerNetwork;
  let client: WebSocketPeerNetwork;
  let unauthenticated: WebSocketPeerNetwork;

  before(async () => {
    server = await startNetwork(serverAddress.port);
    client = await startNetwork(testPort(1));
    unauthenticated = await startNetwork(testPort(2), 'another key');
    server.handle(DOUBLE, async value =>
      value < 0 ? Left('negative') : Right(value * 2),
    );
    server.handleConversation(COUNT, async (opening, channel) => {
      for (let value = 1; value <= opening; value++) channel.send(value);
    });
  });

  after(async () => {
    await Promise.all([
      server.close(),
      client.close(),
      unauthenticated.close(),
    ]);
  });

  const double = (network: WebSocketPeerNetwork, value: number) =>
    network.call(serverAddress, DOUBLE, value, TIMEOUT_MILLISECONDS);

  describe('call', () => {
    it('returns the matching answer to each request', async () => {
      const values = Array.from({length: 50}, (_, index) => index);
      const answers = await Promise.all(values.map(v => double(client, v)));
      expect(answers.map(answer => answer.extract())).to.deep.equal(
        values.map(value => value * 2),
      );
    });

    it('returns a refusal with its reason', async () => {
      expect((await double(client, -1)).extract()).to.deep.equal({
        kind: 'refused',
        reason: 'negative',
      });
    });

    it('does not answer an unauthenticated client', async () => {
      const answer = await double(unauthenticated, 1);
      expect(answer.extract()).to.have.property('kind', 'notSent');
    });
  });

  describe('converse', () => {
    it('delivers messages in order and then ends', async () => {
      const channel = client.converse(serverAddress, COUNT, 3);
      const received: Array<number | undefined> = [];
      for (let count = 0; count < 4; count++) {
        received.push(await channel.receive());
      }
      expect(received).to.deep.equal([1, 2, 3, undefined]);
    });
  });
});
