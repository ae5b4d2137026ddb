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
  let stranger: WebSocketPeerNetwork;

  before(async () => {
    server = await startNetwork(serverAddress.port);
    client = await startNetwork(testPort(1));
    stranger = await startNetwork(testPort(2), 'another key');
    server.handle(DOUBLE, async value =>
      value < 0 ? Left('negative') : Right(value * 2),
    );
    server.handleConversation(COUNT, async (opening, channel) => {
      for (let value = 1; value <= opening; value++) channel.send(value);
    });
  });

  after(async () => {
    await Promise.all([server.close(), client.close(), stranger.close()]);
  });

  const double = (network: WebSocketPeerNetwork, value: number) =>
    network.call(serverAddress, DOUBLE, value, TIMEOUT_MILLISECONDS);

  describe('call', () => {
    it('gives each request its own answer', async () => {
      const values = Array.from({length: 50}, (_, index) => index);
      const answers = await Promise.all(values.map(v => double(client, v)));
      expect(answers.map(answer => answer.extract())).to.deep.equal(
        values.map(value => value * 2),
      );
    });

    it('passes a refusal on with its reason', async () => {
      expect((await double(client, -1)).extract()).to.deep.equal({
        kind: 'refused',
        reason: 'negative',
      });
    });

    it('gives nothing to a stranger', async () => {
      const answer = await double(stranger, 1);
      expect(answer.extract()).to.have.property('kind', 'notSent');
    });
  });

  describe('converse', () => {
    it('carries messages in order and then ends', async () => {
      const channel = client.converse(serverAddress, COUNT, 3);
      const seen: Array<number | undefined> = [];
      for (let count = 0; count < 4; count++) {
        seen.push(await channel.receive());
      }
      expect(seen).to.deep.equal([1, 2, 3, undefined]);
    });
  });
});
