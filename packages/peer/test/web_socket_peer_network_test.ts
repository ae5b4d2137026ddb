import {expect} from 'chai';
import {connect, createServer, Server, Socket} from 'node:net';
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

/** Relays connections to a port and counts the bytes sent to it. */
class CountingRelay {
  bytes = 0;
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly server: Server) {}

  static async start(port: number, target: number): Promise<CountingRelay> {
    const server = createServer();
    const relay = new CountingRelay(server);
    server.on('connection', inbound => relay.relay(inbound, target));
    await new Promise<void>(resolve => {
      server.listen(port, '127.0.0.1', resolve);
    });
    return relay;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private relay(inbound: Socket, target: number): void {
    const outbound = connect(target, '127.0.0.1');
    for (const socket of [inbound, outbound]) {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
    }
    inbound.on('data', (chunk: Buffer) => {
      this.bytes += chunk.length;
    });
    inbound.pipe(outbound).pipe(inbound);
  }
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

  describe('a large message', () => {
    const ECHO = PeerCall.define<unknown, unknown>(
      'echo',
      candidate => candidate,
      candidate => candidate,
    );
    /** A second of an entry VM's link, shared by the children of a view. */
    const LARGEST_SHARE_BYTES = 250_000 / 8;
    const entries = Array.from({length: 1_000}, (_, index) => ({
      name: `entry-${((index * 2_654_435_761) >>> 0).toString(36)}`,
      owner: 'operators',
      limits: {connections: 34, slots: 3, queueLength: 1_000},
      terms: {consistency: 'primary', statementMilliseconds: 800 + (index % 3)},
    }));

    it('is compressed, and delivered in order with small ones', async () => {
      const received: unknown[] = [];
      server.handle(ECHO, async body => {
        received.push(body);
        return Right(body);
      });
      const relay = await CountingRelay.start(testPort(90), serverAddress.port);
      const address = {host: '127.0.0.1', port: testPort(90)};
      const bodies = ['before', entries, 'after'];
      const answers = await Promise.all(
        bodies.map(body =>
          client.call(address, ECHO, body, TIMEOUT_MILLISECONDS),
        ),
      );
      relay.close();
      expect(answers.map(answer => answer.extract())).to.deep.equal(bodies);
      expect(received).to.deep.equal(bodies);
      expect(relay.bytes).to.be.below(LARGEST_SHARE_BYTES);
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

  // The old connection to a VM that was cut off may stay silent for seconds.
  describe('closeIdleLink', () => {
    it('makes the next call use a new connection', async () => {
      await client.call(serverAddress, DOUBLE, 1, TIMEOUT_MILLISECONDS);
      const before = client.dialledLinkCount;
      client.closeIdleLink(serverAddress);
      expect(client.dialledLinkCount).to.equal(before - 1);
      const answer = await client.call(
        serverAddress,
        DOUBLE,
        2,
        TIMEOUT_MILLISECONDS,
      );
      expect(answer.extract()).to.equal(4);
    });

    // A write that is in progress would become unknown to its caller.
    it('leaves a link with an open conversation', async () => {
      const channel = client.converse(serverAddress, COUNT, 2);
      client.closeIdleLink(serverAddress);
      expect(await channel.receive()).to.equal(1);
      expect(await channel.receive()).to.equal(2);
    });

    it('does nothing without a link', () => {
      client.closeIdleLink({host: '127.0.0.1', port: testPort(91)});
    });
  });
});
