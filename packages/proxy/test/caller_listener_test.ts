import {expect} from 'chai';
import {connect, Socket} from 'node:net';
import {Client} from 'pg';
import {serialize} from 'pg-protocol';
import {LeaseOwnerMessage} from '@apricotlock/backend';
import {Deferred, Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {SilentPeerNetwork} from '@apricotlock/peer';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {ClusterView} from '@apricotlock/topology';
import {
  commandComplete,
  createScramVerifier,
  readyForQuery,
  TransactionStatus,
} from '@apricotlock/wire';
import {CallerListener} from '../src/caller_listener.js';
import {CancelRouter} from '../src/cancel_router.js';
import {Router} from '../src/router.js';
import {
  ENTRY,
  FakeLeaseClient,
  FakeOwner,
  finished,
  VIEW,
} from './fake_lease_client.js';

const FIRST_PORT = 4_300;
const PASSWORD = 'an example password';
const DRAIN_MILLISECONDS = 2_000;
/** More than idle sessions and connecting callers get at shutdown. */
const AFTER_GRACE_MILLISECONDS = 800;
/** Returns a complete answer. */
function answered(status: TransactionStatus = 'idle'): LeaseOwnerMessage {
  const parts = [commandComplete('SELECT 1'), readyForQuery(status)];
  return finished(Buffer.concat(parts), {status});
}

describe('CallerListener', () => {
  const timer = SystemTimerService.create();
  const host = '127.0.0.1';
  const sockets: Socket[] = [];
  let port = testPort(FIRST_PORT);

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    port += 1;
  });

  async function start(owner: FakeOwner, password?: string) {
    const leaseClient = new FakeLeaseClient(owner);
    const verifier =
      password === undefined ? undefined : await createScramVerifier(password);
    const entry = {...ENTRY, verifier};
    const catalogue = {version: 1, entries: [entry]};
    const view = Observable.of<ClusterView>({...VIEW, catalogue});
    const listener = await CallerListener.start({
      self: 'vm',
      listen: {host, port},
      view,
      router: Router.create('palermo', view, leaseClient, timer),
      timer,
      logger: Logger.silent(),
      observer: {
        now: () => timer.now(),
        onServed: () => undefined,
        onFailure: () => undefined,
      },
      secureContext: undefined,
      cancelRouter: CancelRouter.start({
        self: 'vm',
        machines: Observable.of([]),
        network: new SilentPeerNetwork(),
      }),
    });
    return {listener, leaseClient};
  }

  function createClient(password?: () => Promise<string>): Client {
    const {name: user, database} = ENTRY;
    const client = new Client({host, port, user, database, password});
    client.on('error', () => undefined);
    return client;
  }

  /** Returns the SQLSTATE of a failure, `undefined` without one. */
  function codeOf(work: Promise<unknown>): Promise<string | undefined> {
    return work.then(
      () => undefined,
      (failure: {code?: string}) => failure.code ?? String(failure),
    );
  }

  describe('drain', () => {
    it('lets no caller in that authenticates after it has begun', async () => {
      // Guards against: a session that begins after the drain found none.
      const {listener} = await start(() => [answered()], PASSWORD);
      const asked = Deferred.create<void>();
      const password = Deferred.create<string>();
      const client = createClient(() => {
        asked.resolve();
        return password.promise;
      });
      const code = codeOf(client.connect());
      await asked.promise;
      const drained = listener.drain(DRAIN_MILLISECONDS);
      password.resolve(PASSWORD);
      expect(await drained).to.equal(0);
      expect(await code).to.equal('57P03');
    });

    it('does not wait for callers that send nothing', async () => {
      // Guards against: a silent connection that holds up the drain.
      const {listener} = await start(() => [answered()]);
      const socket = connect(port, host);
      sockets.push(socket);
      const closed = new Promise(resolve => socket.once('close', resolve));
      socket.resume();
      await new Promise(resolve => socket.once('connect', resolve));
      await timer.sleep(20);
      const startedAt = timer.now();
      expect(await listener.drain(DRAIN_MILLISECONDS)).to.equal(0);
      expect(timer.now() - startedAt).to.be.lessThan(AFTER_GRACE_MILLISECONDS);
      await closed;
    });

    it('waits for the request that a caller sends with its start', async () => {
      // Guards against: an exit while a caller that was let in has no session.
      const {listener, leaseClient} = await start(async () => {
        await timer.sleep(100);
        return [answered()];
      });
      const socket = connect(port, host);
      sockets.push(socket);
      const received: Buffer[] = [];
      const closed = new Promise(resolve => socket.once('close', resolve));
      socket.on('data', (bytes: Buffer) => received.push(bytes));
      const {name: user, database} = ENTRY;
      const startUp = serialize.startup({user, database}) as Buffer;
      const query = serialize.query('SELECT 1') as Buffer;
      socket.write(Buffer.concat([startUp, query]));
      // The drain begins in the turn in which the caller was let in.
      await new Promise(resolve => socket.once('data', resolve));
      await listener.drain(DRAIN_MILLISECONDS);
      await closed;
      const text = Buffer.concat(received).toString('latin1');
      const wasRun = leaseClient.requests.length > 0;
      expect(text.includes('SELECT 1')).to.equal(wasRun);
      expect(wasRun || /C57P0[13]/.test(text)).to.equal(true);
    });

    it('passes on nothing that arrives after an idle session ended', async () => {
      // Guards against: a request that runs and whose caller was told to leave.
      const {listener, leaseClient} = await start(() => [answered()]);
      const socket = connect({host, port, allowHalfOpen: true});
      sockets.push(socket);
      const text = () => Buffer.concat(received).toString('latin1');
      const received: Buffer[] = [];
      socket.on('data', (bytes: Buffer) => {
        received.push(bytes);
        if (bytes.includes('C57P01')) socket.write(query);
      });
      const {name: user, database} = ENTRY;
      const query = serialize.query('UPDATE t SET a = 1') as Buffer;
      socket.write(serialize.startup({user, database}) as Buffer);
      await timer.sleep(100);
      await listener.drain(DRAIN_MILLISECONDS);
      await timer.sleep(100);
      expect(text()).to.include('C57P01');
      expect(leaseClient.requests).to.have.length(0);
    });

    it('answers a request of which a part arrived in time', async () => {
      // Guards against: an idle session ended in the middle of a request.
      const {listener, leaseClient} = await start(() => [answered()]);
      const client = createClient();
      await client.connect();
      const {stream} = client.connection;
      const write = stream.write.bind(stream);
      const text = Buffer.from(serialize.query('UPDATE t SET a = 1') as Buffer);
      let isFirst = true;
      stream.write = (bytes: Buffer) => {
        if (!isFirst) return write(bytes);
        isFirst = false;
        expect(bytes.equals(text)).to.equal(true);
        void timer
          .sleep(AFTER_GRACE_MILLISECONDS)
          .then(() => write(bytes.subarray(9)));
        return write(bytes.subarray(0, 9));
      };
      const code = codeOf(client.query('UPDATE t SET a = 1'));
      expect(await listener.drain(DRAIN_MILLISECONDS)).to.equal(0);
      expect(await code).to.equal(undefined);
      expect(leaseClient.requests).to.have.length(1);
    });

    it('answers all requests that arrived together', async () => {
      // Guards against: an end after the first of several requests that were read.
      const {listener, leaseClient} = await start(async () => {
        await timer.sleep(50);
        return [answered()];
      });
      const client = createClient();
      await client.connect();
      const query = serialize.query('UPDATE t SET a = 1') as Buffer;
      const answers: unknown[] = [];
      client.connection.on('readyForQuery', answer => answers.push(answer));
      client.connection.stream.write(Buffer.concat([query, query, query]));
      await timer.sleep(20);
      await listener.drain(DRAIN_MILLISECONDS);
      expect(leaseClient.requests).to.have.length(3);
      expect(answers).to.have.length(3);
    });

    describe('at its timeout', () => {
      const SHORT_DRAIN_MILLISECONDS = 100;

      /** Returns the SQLSTATE of a statement that the member never answers. */
      async function interrupt(statements: readonly string[]) {
        const {listener, leaseClient} = await start((_request, run) =>
          run.bytes.includes('never')
            ? new Promise(() => undefined)
            : [answered('transaction')],
        );
        const client = createClient();
        await client.connect();
        const ended = new Promise(resolve => client.once('end', resolve));
        for (const statement of statements.slice(0, -1)) {
          await client.query(statement);
        }
        const code = codeOf(client.query(statements.at(-1) as string));
        await timer.sleep(50);
        const count = await listener.drain(SHORT_DRAIN_MILLISECONDS);
        await ended;
        return {count, code: await code, leaseClient};
      }

      it('answers a write as of unknown outcome', async () => {
        // Guards against: a connection that ends without any answer.
        const {count, code} = await interrupt(['UPDATE never SET a = 1']);
        expect({count, code}).to.deep.equal({count: 1, code: '08007'});
      });

      it('answers a read as cut short, and does not repeat it', async () => {
        // Guards against: a statement that is begun again after its answer.
        const {code, leaseClient} = await interrupt(['SELECT * FROM never']);
        expect(code).to.equal('08006');
        await timer.sleep(100);
        const runs = leaseClient.sentMessages.filter(
          ({kind}) => kind === 'run',
        );
        expect(runs).to.have.length(1);
      });

      it('answers a statement in a transaction as rolled back', async () => {
        // Guards against: an unknown outcome where nothing was committed.
        const {code} = await interrupt(['BEGIN', 'UPDATE never SET a = 1']);
        expect(code).to.equal('40000');
      });

      it('answers a commit as of unknown outcome', async () => {
        // Guards against: a rollback that is reported although it may commit.
        const {code} = await interrupt(['BEGIN', 'COMMIT /* never */']);
        expect(code).to.equal('08007');
      });

      it('tells a caller with an idle transaction to leave', async () => {
        // Guards against: a connection that ends without any answer.
        const {listener, leaseClient} = await start(() => [
          answered('transaction'),
        ]);
        const client = createClient();
        await client.connect();
        await client.query('BEGIN');
        const failure = new Promise<{code?: string}>(resolve =>
          client.once('error', resolve),
        );
        expect(await listener.drain(SHORT_DRAIN_MILLISECONDS)).to.equal(1);
        expect((await failure).code).to.equal('57P01');
        await timer.sleep(20);
        expect(leaseClient.sentMessages.at(-1)?.kind).to.equal('release');
      });
    });
  });
});
