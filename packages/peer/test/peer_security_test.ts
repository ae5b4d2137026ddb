import {createHmac, randomBytes} from 'node:crypto';
import {connect, Socket} from 'node:net';
import {expect} from 'chai';
import {Right} from 'purify-ts';
import {WebSocket} from 'ws';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {TestAuthority, TestIdentity, testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {
  PeerCall,
  PeerNetworkOptions,
  ringOf,
  WebSocketPeerNetwork,
} from '../src/index.js';

const ADDRESS = {host: '127.0.0.1', port: testPort(720)};
const STRANGERS = 600;
const MEMORY_LIMIT_BYTES = 64 << 20;
const CALL_TIMEOUT_MILLISECONDS = 2_000;
const PROOF_LIMIT_MILLISECONDS = 5_000;

const asNumber = (candidate: unknown) =>
  typeof candidate === 'number' ? candidate : undefined;
const DOUBLE = PeerCall.define('double', asNumber, asNumber);

describe('peers and strangers', () => {
  const timer = SystemTimerService.create();
  const networks: WebSocketPeerNetwork[] = [];
  let nextPort = testPort(721);

  async function start(
    options: Partial<PeerNetworkOptions> = {},
  ): Promise<WebSocketPeerNetwork> {
    const network = await WebSocketPeerNetwork.start({
      listen: {host: '127.0.0.1', port: nextPort++},
      key: 'a key',
      timer,
      logger: Logger.silent(),
      maximumMessageBytes: 1 << 20,
      ...options,
    });
    network.handle(DOUBLE, async value => Right(value * 2));
    networks.push(network);
    return network;
  }

  const call = (network: WebSocketPeerNetwork) =>
    network.call(ADDRESS, DOUBLE, 4, CALL_TIMEOUT_MILLISECONDS);

  const reasonOf = async (network: WebSocketPeerNetwork) =>
    (await call(network)).swap().map(String).isRight()
      ? JSON.stringify((await call(network)).extract())
      : 'answered';

  afterEach(async () => {
    await Promise.all(networks.splice(0).map(network => network.close()));
  });

  describe('the shared key', () => {
    it('refuses a stranger by name of the reason', async () => {
      await start({listen: ADDRESS});
      const stranger = await start({key: 'another key'});
      expect(await reasonOf(stranger)).to.include('the key was refused');
    });

    it('is rotated without a refusal', async () => {
      const ring = Observable.of(ringOf('old'));
      await start({listen: ADDRESS, key: ring});
      expect((await call(await start({key: 'old'}))).isRight()).to.equal(true);
      ring.set(ringOf('new', 'old'));
      expect((await call(await start({key: 'old'}))).isRight()).to.equal(true);
      expect((await call(await start({key: 'new'}))).isRight()).to.equal(true);
      ring.set(ringOf('new'));
      expect((await call(await start({key: 'old'}))).isLeft()).to.equal(true);
    });

    it('never travels', async () => {
      const seen: Buffer[] = [];
      const {createServer} = await import('node:net');
      const spy = createServer(socket => {
        socket.on('data', chunk => seen.push(chunk));
        socket.on('error', () => socket.destroy());
        setTimeout(() => socket.destroy(), 100);
      });
      await new Promise<void>(resolve =>
        spy.listen(ADDRESS.port, ADDRESS.host, resolve),
      );
      await call(await start({key: 'a very secret key'}));
      spy.close();
      const text = Buffer.concat(seen).toString('latin1');
      expect(text).to.include('x-apricotlock-proof');
      expect(text).not.to.include('a very secret key');
    });
  });

  describe('another version', () => {
    it('is refused with the version that is spoken', async () => {
      await start({listen: ADDRESS});
      const nonce = randomBytes(8).toString('hex');
      const proof = createHmac('sha256', 'a key')
        .update(`dial ${nonce}`)
        .digest('hex');
      const socket = new WebSocket(
        `ws://${ADDRESS.host}:${ADDRESS.port}/`,
        'apricotlock.1',
        {
          headers: {
            'x-apricotlock-nonce': nonce,
            'x-apricotlock-proof': proof,
          },
        },
      );
      socket.on('error', () => undefined);
      const [status, spoken] = await new Promise<[number | undefined, unknown]>(
        resolve => {
          socket.on('unexpected-response', (_request, response) =>
            resolve([
              response.statusCode,
              response.headers['sec-websocket-protocol'],
            ]),
          );
        },
      );
      expect(status).to.equal(426);
      expect(spoken).to.equal('apricotlock.2');
    });
  });

  describe('certificates', () => {
    let identity: TestIdentity;
    let foreign: TestIdentity;
    let renewed: TestIdentity;

    before(async () => {
      const authority = await TestAuthority.create('apricotlock');
      const other = await TestAuthority.create('another');
      identity = await authority.issue('vm-1');
      renewed = await authority.issue('vm-1');
      foreign = await other.issue('vm-1');
    });

    const tls = (of: TestIdentity) => ({
      tls: Observable.of<TestIdentity | undefined>(of),
    });

    it('prove both sides', async () => {
      await start({listen: ADDRESS, ...tls(identity)});
      const answer = await call(await start(tls(identity)));
      expect(answer.extract()).to.equal(8);
    });

    it('of another authority are refused by both sides', async () => {
      await start({listen: ADDRESS, ...tls(identity)});
      expect((await call(await start(tls(foreign)))).isLeft()).to.equal(true);
      const trusting = {...foreign, authority: identity.authority};
      expect((await call(await start(tls(trusting)))).isLeft()).to.equal(true);
    });

    it('are needed besides the key', async () => {
      await start({listen: ADDRESS, ...tls(identity)});
      expect((await call(await start())).isLeft()).to.equal(true);
      const keyless = await start({...tls(identity), key: 'another key'});
      expect((await call(keyless)).isLeft()).to.equal(true);
    });

    it('of two authorities are taken while both are trusted', async () => {
      const authority = `${identity.authority}\n${foreign.authority}`;
      await start({listen: ADDRESS, ...tls({...identity, authority})});
      const changed = {...foreign, authority};
      expect((await call(await start(tls(changed)))).extract()).to.equal(8);
      const unchanged = {...identity, authority};
      expect((await call(await start(tls(unchanged)))).extract()).to.equal(8);
    });

    it('are renewed while links live on', async () => {
      const current = Observable.of<TestIdentity | undefined>(identity);
      await start({listen: ADDRESS, tls: current});
      const early = await start(tls(identity));
      expect((await call(early)).isRight()).to.equal(true);
      current.set(renewed);
      expect((await call(early)).isRight()).to.equal(true);
      expect((await call(await start(tls(renewed)))).isRight()).to.equal(true);
    });
  });

  describe('strangers', () => {
    const flood: Socket[] = [];

    afterEach(() => {
      for (const socket of flood.splice(0)) socket.destroy();
    });

    const open = (send?: Buffer) => {
      const socket = connect(ADDRESS.port, ADDRESS.host);
      socket.on('error', () => socket.destroy());
      // A socket that nobody reads does not notice its end.
      socket.resume();
      socket.on('connect', () => send && socket.write(send));
      flood.push(socket);
      return socket;
    };

    it('that only connect keep no peer out, and are put out', async () => {
      await start({listen: ADDRESS});
      const peer = await start();
      const before = process.memoryUsage().rss;
      const startedAt = timer.now();
      const closed = Array.from({length: STRANGERS}, () => {
        const socket = open();
        return new Promise(resolve => socket.once('close', resolve));
      });
      expect((await call(peer)).extract()).to.equal(8);
      await Promise.all(closed);
      expect(timer.now() - startedAt).to.be.lessThan(PROOF_LIMIT_MILLISECONDS);
      expect((await call(peer)).extract()).to.equal(8);
      expect(process.memoryUsage().rss - before).to.be.lessThan(
        MEMORY_LIMIT_BYTES,
      );
    });

    it('that send garbage, long headers or no end get nothing', async () => {
      await start({listen: ADDRESS});
      const peer = await start();
      const before = process.memoryUsage().rss;
      for (let count = 0; count < 50; count++) {
        open(randomBytes(4_096));
        open(Buffer.from(`GET / HTTP/1.1\r\nx: ${'y'.repeat(1 << 20)}`));
        open(Buffer.from('GET / HTTP/1.1\r\nUpgrade: websocket\r\n'));
      }
      await timer.sleep(200);
      expect((await call(peer)).extract()).to.equal(8);
      expect(process.memoryUsage().rss - before).to.be.lessThan(
        MEMORY_LIMIT_BYTES,
      );
    });
  });
});
