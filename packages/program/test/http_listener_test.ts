import {expect} from 'chai';
import {Agent, get, IncomingHttpHeaders} from 'node:http';
import {connect, createServer, AddressInfo, Socket} from 'node:net';
import {once} from 'node:events';
import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {HttpListener, HttpResponse} from '../src/index.js';

const HOST = '127.0.0.1';
/** Longer than any test, so that a test that waits for it fails. */
const LONG_MILLISECONDS = 60_000;
const SHORT_MILLISECONDS = 50;
const OK: HttpResponse = {status: 200, body: '{}'};

interface Answer {
  readonly status: number | undefined;
  readonly headers: IncomingHttpHeaders;
}

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

describe('HttpListener', () => {
  const timer = SystemTimerService.create();

  /** Starts a listener whose calls are answered by `answer`, in order. */
  async function startListener() {
    const port = await findFreePort();
    const waiting: Array<(response: HttpResponse) => void> = [];
    const listener = await HttpListener.start({
      address: {host: HOST, port},
      maximumBodyBytes: 1_000,
      logger: Logger.silent(),
      handler: () => new Promise(resolve => waiting.push(resolve)),
    });
    const call = (agent?: Agent) =>
      new Promise<Answer>((resolve, reject) => {
        get({host: HOST, port, agent}, response => {
          response.resume();
          const {statusCode: status, headers} = response;
          response.on('end', () => resolve({status, headers}));
        }).on('error', reject);
      });
    const received = async (count: number) => {
      while (waiting.length < count) await timer.sleep(1);
    };
    const open = async () => {
      const socket: Socket = connect(port, HOST);
      await once(socket, 'connect');
      return socket;
    };
    return {listener, waiting, call, received, open};
  }

  describe('close', () => {
    // Guards against calls that are read and cut by the exit of the process.
    it('resolves after the calls under way have been answered', async () => {
      const {listener, waiting, call, received} = await startListener();
      const answer = call();
      await received(1);
      const closed = listener.close(timer, LONG_MILLISECONDS);
      waiting[0]?.(OK);
      const {status, headers} = await answer;
      expect(status).to.equal(200);
      expect(headers.connection).to.equal('close');
      expect(await closed).to.equal(0);
    });

    // Guards against calls that begin after the last look at those under way.
    it('accepts no more connections', async () => {
      const {listener, call} = await startListener();
      await listener.close(timer, LONG_MILLISECONDS);
      const failure = await call().catch((error: Error) => error);
      expect(failure).to.have.property('code', 'ECONNREFUSED');
    });

    // Guards against calls that are cut without an answer at the deadline.
    it('refuses the calls that have no answer after the timeout', async () => {
      const {listener, call, received} = await startListener();
      const answer = call();
      await received(1);
      expect(await listener.close(timer, SHORT_MILLISECONDS)).to.equal(1);
      expect((await answer).status).to.equal(503);
    });

    // Guards against a stop that waits for callers that ask nothing.
    it('ends connections without a request', async () => {
      const {listener, open} = await startListener();
      const socket = await open();
      const ended = once(socket, 'close');
      expect(await listener.close(timer, LONG_MILLISECONDS)).to.equal(0);
      await ended;
    });

    // Guards against requests that are on their way on an accepted connection.
    it('answers the first request of an accepted connection', async () => {
      const {listener, waiting, open, received} = await startListener();
      const socket = await open();
      await timer.sleep(SHORT_MILLISECONDS);
      const closed = listener.close(timer, LONG_MILLISECONDS);
      socket.write('GET / HTTP/1.1\r\nhost: test\r\n\r\n');
      await received(1);
      waiting[0]?.(OK);
      const [data] = (await once(socket, 'data')) as [Buffer];
      expect(data.toString()).to.match(/^HTTP\/1.1 200 /);
      await closed;
    });
  });

  describe('announceClose', () => {
    // Guards against kept connections that are idle when they are ended.
    it('ends kept connections with their next answer', async () => {
      const {listener, waiting, call, received} = await startListener();
      const agent = new Agent({keepAlive: true, maxSockets: 1});
      listener.announceClose();
      const answer = call(agent);
      await received(1);
      waiting[0]?.(OK);
      expect((await answer).headers.connection).to.equal('close');
      await listener.close(timer, LONG_MILLISECONDS);
    });
  });
});
