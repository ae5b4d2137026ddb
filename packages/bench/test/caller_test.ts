import {expect} from 'chai';
import pg from 'pg';
import {serialize} from 'pg-protocol';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {createScramVerifier} from '@apricotlock/wire';
import {createLayout, PROFILES, SystemUnderTest} from '../src/index.js';
import {codeOf, RawCaller, typesOf, valuesOf} from './raw_caller.js';

const BASE_PORT = testPort(1_000);
const DATABASE = 'booking-ledger-1';
const PASSWORD_ENTRY = 'guarded-entry';
const PASSWORD = 'a password of the test';
const BIG_ROWS = 80;
const BIG_VALUE = 'x'.repeat(60_000);

describe('a caller on real processes', function () {
  const timer = SystemTimerService.create();
  let system: SystemUnderTest;
  let address: Address;

  before(async () => {
    const profile = {
      ...PROFILES.bonanno,
      databases: [DATABASE],
      entryMachines: 4,
    };
    system = await SystemUnderTest.start(
      createLayout(profile, BASE_PORT),
      timer,
    );
    const [entry] = system.catalogueEntries();
    const passwordEntry = {
      ...entry,
      name: PASSWORD_ENTRY,
      verifier: await createScramVerifier(PASSWORD),
    };
    const entries = [entry, passwordEntry] as never;
    await system.putFirstCatalogue(entries);
    await system.waitForDatabases();
    address = system.machine(0).callerAddress;
    const client = await connectClient();
    await client.query('CREATE TABLE gear (id text PRIMARY KEY, note text)');
    await client.query("INSERT INTO gear (id, note) VALUES ('1', 'cot')");
    await client.end();
  });

  after(() => system.stop());

  async function connectClient(options: object = {}): Promise<pg.Client> {
    const client = new pg.Client({
      ...address,
      user: DATABASE,
      database: DATABASE,
      ...options,
    });
    client.on('error', () => undefined);
    await client.connect();
    return client;
  }

  async function connectRawCaller(): Promise<RawCaller> {
    const caller = await RawCaller.connect(address, {
      user: DATABASE,
      database: DATABASE,
    });
    await caller.receiveAnswer();
    return caller;
  }

  async function failureCodeOf(work: Promise<unknown>): Promise<string> {
    const failure = await work.then(
      () => ({code: 'none'}),
      (error: {code?: string}) => error,
    );
    return failure.code ?? 'closed';
  }

  const select = 'SELECT note FROM gear WHERE id = $1';
  const parse = (name: string, text = select) =>
    serialize.parse({name, text}) as Buffer;
  const bind = (statement: string, values = ['1']) =>
    serialize.bind({statement, values}) as Buffer;
  const execute = serialize.execute() as Buffer;
  const sync = serialize.sync() as Buffer;
  const flush = serialize.flush() as Buffer;
  const describeStatement = (name: string) =>
    serialize.describe({type: 'S', name}) as Buffer;

  describe('prepared statements', () => {
    it('stay usable while callers share the member connections', async () => {
      const clients = await Promise.all([connectClient(), connectClient()]);
      for (let round = 0; round < 5; round++) {
        const results = await Promise.all(
          clients.map(client =>
            client.query({name: 'by-id', text: select, values: ['1']}),
          ),
        );
        for (const {rows} of results) {
          expect(rows).to.deep.equal([{note: 'cot'}]);
        }
      }
      await Promise.all(clients.map(client => client.end()));
    });

    it('without a name can be used after Sync', async () => {
      const caller = await connectRawCaller();
      caller.send(parse(''), sync);
      expect(typesOf(await caller.receiveAnswer())).to.equal('1Z');
      const other = await connectClient();
      await other.query(select, ['1']);
      await other.end();
      caller.send(bind(''), execute, sync);
      const answer = await caller.receiveAnswer();
      expect(typesOf(answer)).to.equal('2DCZ');
      expect(valuesOf(answer)).to.deep.equal(['cot']);
      caller.close();
    });

    it('do not exist if their Parse failed', async () => {
      const caller = await connectRawCaller();
      caller.send(parse('bad', 'SELEC 1'), sync);
      expect(codeOf(await caller.receiveAnswer())).to.equal('42601');
      caller.send(bind('bad'), execute, sync);
      expect(codeOf(await caller.receiveAnswer())).to.equal('26000');
      caller.close();
    });
  });

  describe('batches', () => {
    it('sent in one write are answered completely and in order', async () => {
      const caller = await connectRawCaller();
      const count = 40;
      const batches = Array.from({length: count}, (_, index) => [
        parse('', `SELECT '${index}' AS n FROM gear`),
        bind('', []),
        execute,
        sync,
      ]).flat();
      caller.send(...batches);
      for (let index = 0; index < count; index++) {
        const answer = await caller.receiveAnswer();
        expect(typesOf(answer)).to.equal('12DCZ');
        expect(valuesOf(answer)).to.deep.equal([String(index)]);
      }
      caller.close();
    });

    it('skip the messages from an error to their Sync', async () => {
      const caller = await connectRawCaller();
      caller.send(
        parse('', 'SELECT note FROM nowhere'),
        bind('', []),
        execute,
        parse('', select),
        bind(''),
        execute,
        sync,
        serialize.query('SELECT note FROM gear') as Buffer,
      );
      const answer = await caller.receiveAnswer();
      expect(codeOf(answer)).to.equal('42P01');
      expect(valuesOf(answer)).to.deep.equal([]);
      expect(valuesOf(await caller.receiveAnswer())).to.deep.equal(['cot']);
      caller.close();
    });

    it('may be empty', async () => {
      const caller = await connectRawCaller();
      caller.send(sync);
      expect(typesOf(await caller.receiveAnswer())).to.equal('Z');
      caller.send(serialize.query('') as Buffer);
      expect(typesOf(await caller.receiveAnswer())).to.equal('IZ');
      caller.close();
    });

    it('of several simple statements are one transaction', async () => {
      const client = await connectClient();
      const results = (await client.query(
        "BEGIN; UPDATE gear SET note = 'seat' WHERE id = '1'; ROLLBACK; " +
          'SELECT note FROM gear',
      )) as unknown as readonly pg.QueryResult[];
      expect(results[3]?.rows).to.deep.equal([{note: 'cot'}]);
      await client.end();
    });
  });

  describe('Flush', () => {
    it('returns the answers to Parse and Describe before Sync', async () => {
      const caller = await connectRawCaller();
      caller.send(parse('s'), describeStatement('s'), flush);
      expect(typesOf(await caller.receiveFrames(3))).to.equal('1tT');
      caller.send(bind('s'), execute, sync);
      const answer = await caller.receiveAnswer();
      expect(typesOf(answer)).to.equal('2DCZ');
      expect(valuesOf(answer)).to.deep.equal(['cot']);
      caller.close();
    });

    it('after Execute is refused without running the statement', async () => {
      const caller = await connectRawCaller();
      const change = "UPDATE gear SET note = 'lost' WHERE id = '1'";
      caller.send(parse('', change), bind('', []), execute, flush);
      expect(codeOf(await caller.receiveFrames(1))).to.equal('0A000');
      caller.send(sync, serialize.query('SELECT note FROM gear') as Buffer);
      expect(typesOf(await caller.receiveAnswer())).to.equal('Z');
      expect(valuesOf(await caller.receiveAnswer())).to.deep.equal(['cot']);
      caller.close();
    });
  });

  describe('unsupported and malformed requests', () => {
    it('of type COPY are refused, and the session stays open', async () => {
      const client = await connectClient();
      const copy = client.query('COPY gear FROM STDIN');
      expect(await failureCodeOf(copy)).to.equal('0A000');
      const {rows} = await client.query('SELECT note FROM gear');
      expect(rows).to.deep.equal([{note: 'cot'}]);
      await client.end();
    });

    it('of type FunctionCall are refused, then ReadyForQuery is sent', async () => {
      const caller = await connectRawCaller();
      caller.send(Buffer.from([0x46, 0, 0, 0, 4]));
      const answer = await caller.receiveAnswer();
      expect(codeOf(answer)).to.equal('0A000');
      expect(typesOf(answer)).to.equal('EZ');
      caller.close();
    });

    it('with an invalid length close only their own connection', async () => {
      const other = await connectClient();
      const caller = await connectRawCaller();
      caller.send(Buffer.from([0x51, 0xff, 0xff, 0xff, 0xff]));
      expect(codeOf(await caller.receiveAnswer())).to.equal('08P01');
      expect(await caller.nextFrame()).to.equal(undefined);
      const {rows} = await other.query('SELECT note FROM gear');
      expect(rows).to.deep.equal([{note: 'cot'}]);
      await other.end();
    });

    it('of an unknown type close the connection', async () => {
      const caller = await connectRawCaller();
      caller.send(Buffer.from([0x7a, 0, 0, 0, 4]));
      expect(codeOf(await caller.receiveAnswer())).to.equal('08P01');
      expect(await caller.nextFrame()).to.equal(undefined);
    });
  });

  describe('settings', () => {
    it('that ordinary drivers send are accepted', async () => {
      const caller = await RawCaller.connect(address, {
        user: DATABASE,
        database: DATABASE,
        client_encoding: 'UTF8',
        DateStyle: 'ISO',
        TimeZone: 'Pacific/Auckland',
        extra_float_digits: '2',
        application_name: 'counter',
      });
      expect(codeOf(await caller.receiveAnswer())).to.equal(undefined);
      caller.send(
        parse('', "SET application_name = 'desk'"),
        bind('', []),
        serialize.describe({type: 'P'}) as Buffer,
        execute,
        sync,
      );
      expect(typesOf(await caller.receiveAnswer())).to.equal('12nCZ');
      caller.send(serialize.query('SELECT note FROM gear') as Buffer);
      expect(valuesOf(await caller.receiveAnswer())).to.deep.equal(['cot']);
      caller.close();
    });

    it('that the proxy cannot preserve are refused', async () => {
      const client = await connectClient();
      const set = client.query('SET session_replication_role = replica');
      expect(await failureCodeOf(set)).to.equal('0A000');
      await client.end();
      const options = '-c default_transaction_read_only=on';
      expect(await failureCodeOf(connectClient({options}))).to.equal('0A000');
    });
  });

  describe('cancel', () => {
    async function cancel(target: pg.Client, at: Address): Promise<void> {
      const {processID, secretKey} = target as unknown as {
        readonly processID: number;
        readonly secretKey: number;
      };
      const socket = (await RawCaller.connect(at, {user: 'x'})).socket;
      socket.destroy();
      const caller = new pg.Client(at);
      const {connection} = caller as unknown as {
        readonly connection: {
          stream: {connect: (port: number, host: string) => void};
          on: (name: string, listener: () => void) => void;
          cancel: (processId: number, secret: number) => void;
          connect: (port: number, host: string) => void;
        };
      };
      connection.on('connect', () => connection.cancel(processID, secretKey));
      connection.on('error', () => undefined);
      connection.connect(at.port, at.host);
    }

    for (const index of [0, 1]) {
      it(`ends only its target statement through VM ${index + 1}`, async () => {
        const target = await connectClient();
        const other = await connectClient();
        const sleeping = failureCodeOf(target.query('SELECT pg_sleep(20)'));
        const uncancelled = failureCodeOf(other.query('SELECT pg_sleep(1)'));
        await timer.sleep(300);
        await cancel(target, system.machine(index).callerAddress);
        expect(await sleeping).to.equal('57014');
        expect(await uncancelled).to.equal('none');
        const {rows} = await target.query('SELECT note FROM gear');
        expect(rows).to.deep.equal([{note: 'cot'}]);
        await Promise.all([target.end(), other.end()]);
      });
    }

    it('ends the statement of a caller that has disconnected', async () => {
      const caller = await connectRawCaller();
      const query = 'BEGIN; UPDATE gear SET note = note; SELECT pg_sleep(20)';
      caller.send(serialize.query(query) as Buffer);
      await timer.sleep(300);
      caller.close();
      const client = await connectClient();
      const change = client.query("UPDATE gear SET note = 'cot'");
      expect(await failureCodeOf(change)).to.equal('none');
      await client.end();
    });
  });

  describe('large results', () => {
    before(async () => {
      const client = await connectClient();
      await client.query('CREATE TABLE big (id text PRIMARY KEY, v text)');
      for (let index = 0; index < BIG_ROWS; index++) {
        const values = [String(index), BIG_VALUE];
        await client.query('INSERT INTO big (id, v) VALUES ($1, $2)', values);
      }
      await client.end();
    });

    for (const [name, begin] of [
      ['a member', undefined],
      ['the primary', 'BEGIN'],
    ] as const) {
      it(`arrive complete from ${name}`, async () => {
        const client = await connectClient();
        if (begin !== undefined) await client.query(begin);
        const {rows} = await client.query('SELECT id, v FROM big');
        expect(rows.length).to.equal(BIG_ROWS);
        expect(rows.every(row => row.v === BIG_VALUE)).to.equal(true);
        await client.end();
      });
    }
  });

  describe('authentication', () => {
    const login = {user: PASSWORD_ENTRY, database: DATABASE};

    it('accepts the correct password', async () => {
      const client = await connectClient({...login, password: PASSWORD});
      const {rows} = await client.query('SELECT note FROM gear');
      expect(rows).to.deep.equal([{note: 'cot'}]);
      await client.end();
    });

    it('refuses a wrong password with 28P01', async () => {
      const attempt = connectClient({...login, password: 'wrong'});
      expect(await failureCodeOf(attempt)).to.equal('28P01');
    });

    it('refuses an unknown user like a wrong password', async () => {
      const attempt = connectClient({
        ...login,
        user: 'nobody',
        password: 'wrong',
      });
      expect(await failureCodeOf(attempt)).to.equal('28P01');
    });

    it('refuses an unknown database with 3D000', async () => {
      const attempt = connectClient({
        ...login,
        database: 'other',
        password: PASSWORD,
      });
      expect(await failureCodeOf(attempt)).to.equal('3D000');
    });

    it('refuses a malformed start-up message with 08P01', async () => {
      const caller = await RawCaller.connect(address, {user: DATABASE});
      caller.close();
      const other = await connectRawCaller();
      other.close();
      const {port, host} = address;
      const malformed = await RawCaller.connect({host, port}, {});
      expect(codeOf(await malformed.receiveAnswer())).to.equal('08P01');
    });
  });
});
