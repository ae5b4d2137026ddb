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
  createKeyRing,
  WebSocketPeerNetwork,
} from '../src/index.js';

const ADDRESS = {host: '127.0.0.1', port: testPort(720)};
const UNAUTHENTICATED_CONNECTION_COUNT = 600;
const MEMORY_LIMIT_BYTES = 64 << 20;
const CALL_TIMEOUT_MILLISECONDS = 2_000;
const CLOSE_LIMIT_MILLISECONDS = 5_000;

const asNumber = (candidate: unknown) =>
  typeof candidate === 'number' ? candidate : undefined;
const DOUBLE = PeerCall.define('double', asNumber, asNumber);

describe('peer authentication', () => {
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

  const describeOutcome = async (network: WebSocketPeerNetwork) =>
    (await call(network)).swap().map(String).isRight()
      ? JSON.stringify((await call(network)).extract())
      : 'answered';

  afterEach(async () => {
    await Promise.all(networks.splice(0).map(network => network.close()));
  });

  describe('the shared key', () => {
    it('refuses an unauthenticated client with the reason', async () => {
      await start({listen: ADDRESS});
      const unauthenticated = await start({key: 'another key'});
      expect(await describeOutcome(unauthenticated)).to.include(
        'shared key refused',
      );
    });

    it('is rotated without refusing peers that have an accepted key', async () => {
      const keyRing = Observable.of(createKeyRing('old'));
      await start({listen: ADDRESS, key: keyRing});
      expect((await call(await start({key: 'old'}))).isRight()).to.equal(true);
      keyRing.set(createKeyRing('new', 'old'));
      expect((await call(await start({key: 'old'}))).isRight()).to.equal(true);
      expect((await call(await start({key: 'new'}))).isRight()).to.equal(true);
      keyRing.set(createKeyRing('new'));
      expect((await call(await start({key: 'old'}))).isLeft()).to.equal(true);
    });

    it('is never sent', async () => {
      const received: Buffer[] = [];
      const {createServer} = await import('node:net');
      const recorder = createServer(socket => {
        socket.on('data', chunk => received.push(chunk));
        socket.on('error', () => socket.destroy());
        setTimeout(() => socket.destroy(), 100);
      });
      await new Promise<void>(resolve =>
        recorder.listen(ADDRESS.port, ADDRESS.host, resolve),
      );
      await call(await start({key: 'a very secret key'}));
      recorder.close();
      const text = Buffer.concat(received).toString('latin1');
      expect(text).to.include('x-apricotlock-proof');
      expect(text).not.to.include('a very secret key');
    });
  });

  describe('another protocol version', () => {
    it('is refused with the supported version', async () => {
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
      const [status, protocol] = await new Promise<
        [number | undefined, unknown]
      >(resolve => {
        socket.on('unexpected-response', (_request, response) =>
          resolve([
            response.statusCode,
            response.headers['sec-websocket-protocol'],
          ]),
        );
      });
      expect(status).to.equal(426);
      expect(protocol).to.equal('apricotlock.3');
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

    const tlsOptions = (certificate: TestIdentity) => ({
      tls: Observable.of<TestIdentity | undefined>(certificate),
    });

    it('authenticate both sides', async () => {
      await start({listen: ADDRESS, ...tlsOptions(identity)});
      const answer = await call(await start(tlsOptions(identity)));
      expect(answer.extract()).to.equal(8);
    });

    it('of another authority are refused by both sides', async () => {
      await start({listen: ADDRESS, ...tlsOptions(identity)});
      expect((await call(await start(tlsOptions(foreign)))).isLeft()).to.equal(
        true,
      );
      const trustsServerAuthority = {...foreign, authority: identity.authority};
      expect(
        (await call(await start(tlsOptions(trustsServerAuthority)))).isLeft(),
      ).to.equal(true);
    });

    it('are required in addition to the key', async () => {
      await start({listen: ADDRESS, ...tlsOptions(identity)});
      expect((await call(await start())).isLeft()).to.equal(true);
      const wrongKeyPeer = await start({
        ...tlsOptions(identity),
        key: 'another key',
      });
      expect((await call(wrongKeyPeer)).isLeft()).to.equal(true);
    });

    it('of two authorities are accepted while both are trusted', async () => {
      const authority = `${identity.authority}\n${foreign.authority}`;
      await start({listen: ADDRESS, ...tlsOptions({...identity, authority})});
      const foreignIdentity = {...foreign, authority};
      expect(
        (await call(await start(tlsOptions(foreignIdentity)))).extract(),
      ).to.equal(8);
      const originalIdentity = {...identity, authority};
      expect(
        (await call(await start(tlsOptions(originalIdentity)))).extract(),
      ).to.equal(8);
    });

    it('are renewed while links stay open', async () => {
      const current = Observable.of<TestIdentity | undefined>(identity);
      await start({listen: ADDRESS, tls: current});
      const connectedBefore = await start(tlsOptions(identity));
      expect((await call(connectedBefore)).isRight()).to.equal(true);
      current.set(renewed);
      expect((await call(connectedBefore)).isRight()).to.equal(true);
      expect((await call(await start(tlsOptions(renewed)))).isRight()).to.equal(
        true,
      );
    });
  });

  describe('unauthenticated clients', () => {
    const sockets: Socket[] = [];

    afterEach(() => {
      for (const socket of sockets.splice(0)) socket.destroy();
    });

    const openSocket = (data?: Buffer) => {
      const socket = connect(ADDRESS.port, ADDRESS.host);
      socket.on('error', () => socket.destroy());
      // A socket that is not read does not emit its end.
      socket.resume();
      socket.on('connect', () => data && socket.write(data));
      sockets.push(socket);
      return socket;
    };

    it('that only connect are closed and do not lock out peers', async () => {
      await start({listen: ADDRESS});
      const peer = await start();
      const before = process.memoryUsage().rss;
      const startedAt = timer.now();
      const closeEvents = Array.from(
        {length: UNAUTHENTICATED_CONNECTION_COUNT},
        () => {
          const socket = openSocket();
          return new Promise(resolve => socket.once('close', resolve));
        },
      );
      expect((await call(peer)).extract()).to.equal(8);
      await Promise.all(closeEvents);
      expect(timer.now() - startedAt).to.be.lessThan(CLOSE_LIMIT_MILLISECONDS);
      expect((await call(peer)).extract()).to.equal(8);
      expect(process.memoryUsage().rss - before).to.be.lessThan(
        MEMORY_LIMIT_BYTES,
      );
    });

    it('that send garbage, long or unfinished headers do no harm', async () => {
      await start({listen: ADDRESS});
      const peer = await start();
      const before = process.memoryUsage().rss;
      for (let count = 0; count < 50; count++) {
        openSocket(randomBytes(4_096));
        openSocket(Buffer.from(`GET / HTTP/1.1\r\nx: ${'y'.repeat(1 << 20)}`));
        openSocket(Buffer.from('GET / HTTP/1.1\r\nUpgrade: websocket\r\n'));
      }
      await timer.sleep(200);
      expect((await call(peer)).extract()).to.equal(8);
      expect(process.memoryUsage().rss - before).to.be.lessThan(
        MEMORY_LIMIT_BYTES,
      );
    });
  });
});
