import {connect} from 'node:net';
import {expect} from 'chai';
import {Right} from 'purify-ts';
import {Deferred, Observable} from '@apricotlock/flow';
import {createKeyRing, KeyRing} from '@apricotlock/peer';
import {TestAuthority, testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {ControlCommand} from '@apricotlock/control';
import {digestOfKey} from '@apricotlock/topology';
import {OperatorBackend, OperatorClient, OperatorServer} from '../src/index.js';
import {OperatorTls} from '../src/operator_listener.js';

const ADDRESS = {host: '127.0.0.1', port: testPort(760)};
const BODY_BYTES = 15_000_000;
const CLOSE_LIMIT_MILLISECONDS = 4_000;

const proposed: ControlCommand[] = [];
const backend = {
  propose: async (command: ControlCommand) => {
    proposed.push(command);
    return Right({kind: 'accepted', index: 1, version: 1});
  },
  isReady: () => true,
  wallClock: () => 0,
  metrics: async () => 'a_metric 1\n',
  status: () => ({machine: 'vm-1'}),
  audit: async () => Right([]),
} as unknown as OperatorBackend;

describe('OperatorServer', () => {
  const timer = SystemTimerService.create();
  const operatorTokens = Observable.of(createKeyRing('new token', 'old token'));
  let server: OperatorServer;

  const start = async (tls?: OperatorTls) => {
    const current = Observable.of(tls);
    server = await OperatorServer.start({
      listen: ADDRESS,
      operatorTokens,
      metricsTokens: Observable.of<KeyRing | undefined>(
        createKeyRing('metrics'),
      ),
      memberKeys: Observable.of(createKeyRing('member key')),
      tls: current,
      timer,
      backend,
    });
    return current;
  };

  afterEach(() => server.close());

  const statusOf = async (token: string, authority?: string) => {
    const client = OperatorClient.create(ADDRESS, token, 'test', authority);
    const status = await client.status();
    return status.caseOf({
      Left: ({kind}) => kind as string,
      Right: ({machine}) => machine,
    });
  };

  describe('tokens', () => {
    it('are accepted while the key ring contains them', async () => {
      await start();
      expect(await statusOf('old token')).to.equal('vm-1');
      expect(await statusOf('new token')).to.equal('vm-1');
      operatorTokens.set(createKeyRing('new token'));
      expect(await statusOf('old token')).to.equal('unauthorized');
    });

    it('for metrics give access to nothing else', async () => {
      await start();
      const get = (path: string) =>
        fetch(`http://${ADDRESS.host}:${ADDRESS.port}${path}`, {
          headers: {authorization: 'Bearer metrics'},
        });
      expect((await get('/metrics')).status).to.equal(200);
      expect((await get('/v1/status')).status).to.equal(401);
    });
  });

  describe('organisations in a catalogue', () => {
    const put = (organisations?: readonly unknown[]) =>
      OperatorClient.create(ADDRESS, 'new token', 'test').putCatalogue(
        'change',
        0,
        [],
        false,
        organisations,
      );
    const acme = {name: 'acme', priority: 1};

    it('are proposed with digests in place of their keys', async () => {
      await start();
      const stored = {...acme, keyDigests: [digestOfKey('SECRET')]};
      for (const sent of [{...acme, keys: ['SECRET']}, stored]) {
        expect((await put([sent])).isRight()).to.equal(true);
        expect(proposed.at(-1)).to.deep.include({organisations: [stored]});
      }
      expect(JSON.stringify(proposed)).to.not.include('SECRET');
    });

    // An apricotctl of an earlier version sends entries only.
    it('are not part of the proposal if none were sent', async () => {
      await start();
      await put();
      expect(proposed.at(-1)).to.not.have.property('organisations');
    });

    it('are refused by position if a key is malformed or not JSON', async () => {
      await start();
      const answer = await put([{...acme, keys: ['SECRET with spaces']}]);
      const text = JSON.stringify(answer.extract());
      expect(text).to.include('organisations[0].keys[0]');
      expect(text).to.not.include('SECRET');
      const response = await fetch(
        `http://${ADDRESS.host}:${ADDRESS.port}/v1/catalogue`,
        {
          method: 'PUT',
          headers: {
            authorization: 'Bearer new token',
            'content-type': 'application/json',
          },
          body: '{"keys": SECRET',
        },
      );
      expect(response.status).to.equal(400);
      expect(await response.text()).to.not.include('SECRET');
    });
  });

  describe('close', () => {
    it('answers a call in progress, and accepts no other', async () => {
      // Guards against: a change whose operator isn't told that it was made.
      await start();
      const propose = backend.propose;
      const accepted = Deferred.create<void>();
      const asked = Deferred.create<void>();
      backend.propose = async command => {
        asked.resolve();
        await accepted.promise;
        return propose(command);
      };
      const client = OperatorClient.create(ADDRESS, 'new token', 'test');
      const answer = client.putCatalogue('change', 0, [], false);
      await asked.promise;
      const closed = server.close();
      expect(await statusOf('new token')).to.equal('unreachable');
      accepted.resolve();
      expect((await answer).isRight()).to.equal(true);
      await closed;
      backend.propose = propose;
    });

    it('does not wait long for a call that does not end', async () => {
      // Guards against: a stop of the VM that an operator's call holds up.
      await start();
      const propose = backend.propose;
      const asked = Deferred.create<void>();
      backend.propose = () => {
        asked.resolve();
        return new Promise(() => undefined);
      };
      const client = OperatorClient.create(ADDRESS, 'new token', 'test');
      void client.putCatalogue('change', 0, [], false);
      await asked.promise;
      const startedAt = timer.now();
      await server.close();
      expect(timer.now() - startedAt).to.be.lessThan(CLOSE_LIMIT_MILLISECONDS);
      backend.propose = propose;
    });
  });

  describe('TLS', () => {
    it('authenticates the API and uses a renewed certificate', async () => {
      const authority = await TestAuthority.create('operators');
      const other = await TestAuthority.create('others');
      const current = await start(await authority.issue('vm-1'));
      const good = authority.certificate;
      expect(await statusOf('new token', good)).to.equal('vm-1');
      expect(await statusOf('new token', other.certificate)).to.equal(
        'unreachable',
      );
      expect(await statusOf('new token')).to.equal('unreachable');
      current.set(await other.issue('vm-1'));
      expect(await statusOf('new token', other.certificate)).to.equal('vm-1');
    });
  });

  describe('unauthenticated clients', () => {
    const readResponse = (text: string) =>
      new Promise<string>(resolve => {
        const socket = connect(ADDRESS.port, ADDRESS.host);
        let response = '';
        socket.on('data', chunk => {
          response += chunk.toString();
        });
        socket.on('error', () => socket.destroy());
        socket.on('close', () => resolve(response));
        socket.write(text);
      });

    it('are rejected before their request body is read', async () => {
      await start();
      const response = await readResponse(
        'PUT /v1/catalogue HTTP/1.1\r\nhost: x\r\n' +
          `content-type: application/json\r\ncontent-length: ${BODY_BYTES}` +
          '\r\n\r\n{',
      );
      expect(response).to.match(/^HTTP\/1.1 401 /);
    });

    it('are disconnected if they send their headers too slowly', async () => {
      await start();
      const startedAt = timer.now();
      await readResponse('GET /v1/status HTTP/1.1\r\nhost:');
      expect(timer.now() - startedAt).to.be.lessThan(CLOSE_LIMIT_MILLISECONDS);
    });
  });
});
