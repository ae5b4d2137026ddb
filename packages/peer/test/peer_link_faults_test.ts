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
const REPLACED_LIMIT_MILLISECONDS = 2_000;
const SHORT_MILLISECONDS = 100;
const CALL_TIMEOUT_MILLISECONDS = 300;
const CHUNK_BYTES = 64 << 10;
const MEMORY_LIMIT_BYTES = 48 << 20;

const asNumber = (candidate: unknown) =>
  typeof candidate === 'number' ? candidate : undefined;
const asBytes = (candidate: unknown) =>
  candidate instanceof Uint8Array ? candidate : undefined;
const DOUBLE = PeerCall.define('double', asNumber, asNumber);
const POUR = PeerConversation.define('pour', asNumber, asNumber, asBytes);

/** Passes bytes on; what is open when it is muted loses them for good. */
class Relay {
  private readonly muted = new Set<Socket>();
  private readonly open = new Set<Socket>();

  private constructor(private readonly server: Server) {}

  static async start(): Promise<Relay> {
    const server = createServer();
    const relay = new Relay(server);
    server.on('connection', socket => relay.carry(socket));
    await new Promise<void>(resolve =>
      server.listen(RELAY.port, RELAY.host, resolve),
    );
    return relay;
  }

  muteOpen(): void {
    for (const socket of this.open) this.muted.add(socket);
  }

  close(): void {
    for (const socket of this.open) socket.destroy();
    this.server.close();
  }

  private carry(near: Socket): void {
    const far = connect(TARGET.port, TARGET.host);
    for (const [from, to] of [
      [near, far],
      [far, near],
    ] as const) {
      this.open.add(from);
      from.on('data', chunk => {
        if (!this.muted.has(from)) to.write(chunk);
      });
      from.on('error', () => from.destroy());
      from.on('close', () => {
        this.open.delete(from);
        if (!this.muted.has(from)) to.destroy();
      });
    }
  }
}

describe('links between peers, with faults', () => {
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

  it('replace a link that went silent for good', async () => {
    const call = () => client.call(RELAY, DOUBLE, 1, CALL_TIMEOUT_MILLISECONDS);
    expect((await call()).isRight()).to.equal(true);
    relay.muteOpen();
    const mutedAt = timer.now();
    while ((await call()).isLeft()) {
      expect(timer.now() - mutedAt).to.be.lessThan(REPLACED_LIMIT_MILLISECONDS);
    }
  });

  it('end a conversation whose link went silent, on both sides', async () => {
    let ended = false;
    server.handleConversation(POUR, async (_opening, channel) => {
      await channel.receive();
      ended = true;
    });
    const channel = client.converse(RELAY, POUR, 1);
    await timer.sleep(100);
    relay.muteOpen();
    const mutedAt = timer.now();
    expect(await channel.receive()).to.equal(undefined);
    while (!ended) await timer.sleep(20);
    expect(timer.now() - mutedAt).to.be.lessThan(REPLACED_LIMIT_MILLISECONDS);
  });

  it('hold back a sender whose receiver is slow', async () => {
    let sent = 0;
    let pouring: PeerChannel<Uint8Array, number> | undefined;
    server.handleConversation(POUR, async (_opening, channel) => {
      pouring = channel;
      const chunk = Buffer.alloc(CHUNK_BYTES);
      while (channel.send(chunk)) {
        sent += CHUNK_BYTES;
        await channel.writable();
      }
    });
    const before = process.memoryUsage().rss;
    const channel = client.converse(TARGET, POUR, 1);
    await timer.sleep(500);
    expect(sent).to.be.at.most(1 << 20);
    for (let taken = 0; taken < 300; taken++) {
      expect((await channel.receive())?.length).to.equal(CHUNK_BYTES);
    }
    expect(sent).to.be.at.least(300 * CHUNK_BYTES);
    expect(process.memoryUsage().rss - before).to.be.lessThan(
      MEMORY_LIMIT_BYTES,
    );
    pouring?.end();
    channel.end();
  });

  it('refuse a message that is larger than a link carries', async () => {
    const answer = await client.call(
      TARGET,
      PeerCall.define('large', asBytes, asNumber),
      Buffer.alloc(2 << 20),
      CALL_TIMEOUT_MILLISECONDS,
    );
    expect(answer.extract()).to.have.property('kind', 'notSent');
    const next = await client.call(TARGET, DOUBLE, 1, 1_000);
    expect(next.extract()).to.equal(2);
  });

  it('do not make a call wait longer than it may for a connection', async () => {
    const port = testPort(704);
    const silent = createServer(() => undefined);
    await new Promise<void>(resolve => silent.listen(port, resolve));
    const to = {host: '127.0.0.1', port};
    const calledAt = timer.now();
    const answer = await client.call(to, DOUBLE, 1, SHORT_MILLISECONDS);
    expect(answer.extract()).to.have.property('kind', 'notSent');
    expect(timer.now() - calledAt).to.be.lessThan(5 * SHORT_MILLISECONDS);
    silent.close();
  });

  it('are closed when they have been idle for long', async () => {
    const clock = ManualTimerService.create();
    const idle = await start(testPort(703), clock as never);
    await idle.call(TARGET, DOUBLE, 1, CALL_TIMEOUT_MILLISECONDS);
    expect(idle.dialledLinks).to.equal(1);
    clock.advance(60_000);
    expect(idle.dialledLinks).to.equal(0);
    const again = await idle.call(TARGET, DOUBLE, 1, CALL_TIMEOUT_MILLISECONDS);
    expect(again.extract()).to.equal(2);
    await idle.close();
  });
});
