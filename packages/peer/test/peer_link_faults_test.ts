import {createServer, Server, Socket, connect} from 'node:net';
import {expect} from 'chai';
import {Right} from 'purify-ts';
import {Logger} from '@apricotlock/logging';
import {testPort} from '@apricotlock/testing';
import {ManualTimerService, SystemTimerService} from '@apricotlock/timer';
import {
  PeerCall,
  PeerChannel,
  PeerConversation,
  WebSocketPeerNetwork,
} from '../src/index.js';

const TARGET = {host: '127.0.0.1', port: testPort(700)};
const RELAY = {host: '127.0.0.1', port: testPort(701)};
const DETECTION_LIMIT_MILLISECONDS = 2_000;
const SHORT_TIMEOUT_MILLISECONDS = 100;
const CALL_TIMEOUT_MILLISECONDS = 300;
const CHUNK_BYTES = 64 << 10;
const MEMORY_LIMIT_BYTES = 48 << 20;

const asNumber = (candidate: unknown) =>
  typeof candidate === 'number' ? candidate : undefined;
const asBytes = (candidate: unknown) =>
  candidate instanceof Uint8Array ? candidate : undefined;
const DOUBLE = PeerCall.define('double', asNumber, asNumber);
const STREAM_CHUNKS = PeerConversation.define(
  'streamChunks',
  asNumber,
  asNumber,
  asBytes,
);

/**
 * Relays connections to the target. Connections that are open when they are
 * muted lose all further bytes without being closed.
 */
class Relay {
  private readonly mutedSockets = new Set<Socket>();
  private readonly openSockets = new Set<Socket>();

  private constructor(private readonly server: Server) {}

  static async start(): Promise<Relay> {
    const server = createServer();
    const relay = new Relay(server);
    server.on('connection', socket => relay.relayConnection(socket));
    await new Promise<void>(resolve =>
      server.listen(RELAY.port, RELAY.host, resolve),
    );
    return relay;
  }

  muteOpenSockets(): void {
    for (const socket of this.openSockets) this.mutedSockets.add(socket);
  }

  close(): void {
    for (const socket of this.openSockets) socket.destroy();
    this.server.close();
  }

  private relayConnection(clientSocket: Socket): void {
    const targetSocket = connect(TARGET.port, TARGET.host);
    for (const [from, to] of [
      [clientSocket, targetSocket],
      [targetSocket, clientSocket],
    ] as const) {
      this.openSockets.add(from);
      from.on('data', chunk => {
        if (!this.mutedSockets.has(from)) to.write(chunk);
      });
      from.on('error', () => from.destroy());
      from.on('close', () => {
        this.openSockets.delete(from);
        if (!this.mutedSockets.has(from)) to.destroy();
      });
    }
  }
}

describe('links between peers with faults', () => {
  const timer = SystemTimerService.create();
  let server: WebSocketPeerNetwork;
  let client: WebSocketPeerNetwork;
  let relay: Relay;

  const start = (port: number, clock = timer as never) =>
    WebSocketPeerNetwork.start({
      listen: {host: '127.0.0.1', port},
      key: 'a key',
      timer: clock,
      logger: Logger.silent(),
      maximumMessageBytes: 1 << 20,
    });

  beforeEach(async () => {
    server = await start(TARGET.port);
    client = await start(testPort(702));
    relay = await Relay.start();
    server.handle(DOUBLE, async value => Right(value * 2));
  });

  afterEach(async () => {
    relay.close();
    await Promise.all([server.close(), client.close()]);
  });

  it('replace a link that stopped responding', async () => {
    const call = () => client.call(RELAY, DOUBLE, 1, CALL_TIMEOUT_MILLISECONDS);
    expect((await call()).isRight()).to.equal(true);
    relay.muteOpenSockets();
    const mutedAt = timer.now();
    while ((await call()).isLeft()) {
      expect(timer.now() - mutedAt).to.be.lessThan(
        DETECTION_LIMIT_MILLISECONDS,
      );
    }
  });

  it('end a conversation on both sides when its link stops responding', async () => {
    let ended = false;
    server.handleConversation(STREAM_CHUNKS, async (_opening, channel) => {
      await channel.receive();
      ended = true;
    });
    const channel = client.converse(RELAY, STREAM_CHUNKS, 1);
    await timer.sleep(100);
    relay.muteOpenSockets();
    const mutedAt = timer.now();
    expect(await channel.receive()).to.equal(undefined);
    while (!ended) await timer.sleep(20);
    expect(timer.now() - mutedAt).to.be.lessThan(DETECTION_LIMIT_MILLISECONDS);
  });

  it('block a sender whose receiver is slow', async () => {
    let sent = 0;
    let serverChannel: PeerChannel<Uint8Array, number> | undefined;
    server.handleConversation(STREAM_CHUNKS, async (_opening, channel) => {
      serverChannel = channel;
      const chunk = Buffer.alloc(CHUNK_BYTES);
      while (channel.send(chunk)) {
        sent += CHUNK_BYTES;
        await channel.writable();
      }
    });
    const before = process.memoryUsage().rss;
    const channel = client.converse(TARGET, STREAM_CHUNKS, 1);
    await timer.sleep(500);
    expect(sent).to.be.at.most(1 << 20);
    for (let received = 0; received < 300; received++) {
      expect((await channel.receive())?.length).to.equal(CHUNK_BYTES);
    }
    expect(sent).to.be.at.least(300 * CHUNK_BYTES);
    expect(process.memoryUsage().rss - before).to.be.lessThan(
      MEMORY_LIMIT_BYTES,
    );
    serverChannel?.end();
    channel.end();
  });

  it('refuse a message that is larger than the maximum', async () => {
    const answer = await client.call(
      TARGET,
      PeerCall.define('large', asBytes, asNumber),
      Buffer.alloc(2 << 20),
      CALL_TIMEOUT_MILLISECONDS,
    );
    expect(answer.extract()).to.have.property('kind', 'notSent');
    const nextAnswer = await client.call(TARGET, DOUBLE, 1, 1_000);
    expect(nextAnswer.extract()).to.equal(2);
  });

  it('include the time for connecting in the timeout of a call', async () => {
    const port = testPort(704);
    const silentServer = createServer(() => undefined);
    await new Promise<void>(resolve => silentServer.listen(port, resolve));
    const to = {host: '127.0.0.1', port};
    const calledAt = timer.now();
    const answer = await client.call(to, DOUBLE, 1, SHORT_TIMEOUT_MILLISECONDS);
    expect(answer.extract()).to.have.property('kind', 'notSent');
    expect(timer.now() - calledAt).to.be.lessThan(
      5 * SHORT_TIMEOUT_MILLISECONDS,
    );
    silentServer.close();
  });

  it('are closed after the idle timeout', async () => {
    const clock = ManualTimerService.create();
    const idleNetwork = await start(testPort(703), clock as never);
    await idleNetwork.call(TARGET, DOUBLE, 1, CALL_TIMEOUT_MILLISECONDS);
    expect(idleNetwork.dialledLinkCount).to.equal(1);
    clock.advance(60_000);
    expect(idleNetwork.dialledLinkCount).to.equal(0);
    const answerAfterReconnect = await idleNetwork.call(
      TARGET,
      DOUBLE,
      1,
      CALL_TIMEOUT_MILLISECONDS,
    );
    expect(answerAfterReconnect.extract()).to.equal(2);
    await idleNetwork.close();
  });
});
