import {readFileSync, writeFileSync} from 'node:fs';
import {connect, Socket} from 'node:net';
import {join} from 'node:path';
import {Client} from 'pg';
import {expect} from 'chai';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {Address, formatAddress} from '@apricotlock/topology';
import {
  createLayout,
  NO_VIOLATIONS,
  PROFILES,
  SystemUnderTest,
  Workload,
} from '../src/index.js';

const BASE_PORT = testPort(800);
const KNOWN_DEAD_LIMIT_MILLISECONDS = 4_000;
const RETURN_LIMIT_MILLISECONDS = 10_000;
const SECOND_SIGNAL_LIMIT_MILLISECONDS = 1_000;
const UNAUTHENTICATED_CONNECTIONS = 300;
const MEMORY_GROWTH_LIMIT_BYTES = 64 << 20;
const OLD_TOKEN = 'an example key of many characters operator-token';
const NEW_TOKEN = 'another example key of many characters';

describe('the lifecycle of an entry VM on real processes', () => {
  const timer = SystemTimerService.create();
  const database = 'booking-ledger-1';
  let system: SystemUnderTest;

  before(async () => {
    system = await SystemUnderTest.start(
      createLayout(PROFILES.bonanno, BASE_PORT),
      timer,
    );
    const entries = system.catalogueEntries();
    await system.putFirstCatalogue(entries);
    await system.waitForDatabases();
  });

  after(() => system.stop());

  const urlOf = (index: number, path: string) =>
    `http://${formatAddress(system.machine(index).operatorAddress)}${path}`;

  const get = (index: number, path: string, token?: string) =>
    fetch(urlOf(index, path), {
      headers: token === undefined ? {} : {authorization: `Bearer ${token}`},
    });

  const fetchMachineNames = async (index: number) => {
    const status = await system.operatorClient(system.machine(index)).status();
    return status
      .map(({machines}) => machines.map(({name}) => name))
      .orDefault([]);
  };

  const connectCaller = async (index: number) => {
    const {host, port} = system.machine(index).callerAddress;
    const client = new Client({host, port, user: database, database});
    client.on('error', () => undefined);
    await client.connect();
    return client;
  };

  const canConnect = ({host, port}: Address) =>
    new Promise<boolean>(resolve => {
      const socket = connect(port, host);
      socket.once('error', () => resolve(false));
      socket.once('connect', () => {
        socket.destroy();
        resolve(true);
      });
    });

  const fetchMetric = async (index: number, name: string) => {
    const page = await (await get(index, '/metrics', OLD_TOKEN)).text();
    return Number(new RegExp(`^${name} (.*)$`, 'm').exec(page)?.[1]);
  };

  describe('a VM that is frozen for some time', () => {
    it('is declared dead within the limit and rejoins on its own', async () => {
      const {name} = system.machine(5);
      system.processes.signal(name, 'SIGSTOP');
      await system.waitUntil(
        'the frozen VM to be declared dead',
        async () => !(await fetchMachineNames(1)).includes(name),
        KNOWN_DEAD_LIMIT_MILLISECONDS,
      );
      await timer.sleep(1_000);
      system.processes.signal(name, 'SIGCONT');
      await system.waitUntil(
        'the VM to rejoin',
        async () =>
          (await fetchMachineNames(1)).includes(name) &&
          (await fetchMachineNames(5)).length === 6,
        RETURN_LIMIT_MILLISECONDS,
      );
    });
  });

  describe('unauthenticated clients', () => {
    const open: Socket[] = [];

    afterEach(() => {
      for (const socket of open.splice(0)) socket.destroy();
    });

    const flood = ({host, port}: Address, bytes?: Buffer) => {
      for (let count = 0; count < UNAUTHENTICATED_CONNECTIONS; count++) {
        const socket = connect(port, host);
        socket.on('error', () => socket.destroy());
        socket.resume();
        if (bytes !== undefined) {
          socket.on('connect', () => socket.write(bytes));
        }
        open.push(socket);
      }
    };

    it('can access only health and readiness', async () => {
      const paths = ['/metrics', '/v1/status', '/v1/catalogue', '/nothing'];
      for (const path of paths) {
        expect((await get(0, path)).status).to.equal(401);
        expect((await get(0, path, 'a wrong token')).status).to.equal(401);
      }
      expect((await get(0, '/health')).status).to.equal(200);
      const announced = await fetch(urlOf(0, '/v1/announcements'), {
        method: 'POST',
        headers: {authorization: `Bearer ${OLD_TOKEN}`},
        body: '{}',
      });
      expect(announced.status).to.equal(401);
    });

    it('do not block any port and use bounded memory', async () => {
      const {operatorAddress, peerAddress} = system.machine(2);
      const resident = 'apricotlock_resident_memory_bytes';
      const before = await fetchMetric(2, resident);
      const body = Buffer.from(
        'PUT /v1/catalogue HTTP/1.1\r\nhost: x\r\n' +
          'content-type: application/json\r\ncontent-length: 16000000\r\n\r\n' +
          'x'.repeat(64 << 10),
      );
      for (const address of [operatorAddress, peerAddress]) {
        flood(address);
        flood(address, body);
        flood(address, Buffer.alloc(64 << 10, 7));
      }
      const client = await connectCaller(2);
      const {rows} = await client.query('SELECT 1 AS one');
      expect(rows).to.have.length(1);
      await client.end();
      expect((await fetchMachineNames(2)).length).to.equal(6);
      const growth = (await fetchMetric(2, resident)) - before;
      expect(growth).to.be.lessThan(MEMORY_GROWTH_LIMIT_BYTES);
    });
  });

  describe('metrics', () => {
    it('contain counters, durations and gauges after a statement', async () => {
      const client = await connectCaller(1);
      await client.query('SELECT 1');
      await client.end();
      const page = await (await get(1, '/metrics', OLD_TOKEN)).text();
      expect(page).to.match(/apricotlock_batches_total\{.*\} [1-9]/);
      expect(page).to.match(/duration_seconds\{.*quantile="0.99"\} [0-9.]+/);
      expect(page).to.match(/^apricotlock_live_machines 6$/m);
    });
  });

  describe('secrets', () => {
    it('appear in no log and on no command line', () => {
      for (const {name} of system.layout.machines) {
        const log = readFileSync(join(system.folder, `${name}.log`), 'utf8');
        const pid = system.processes.processId(name);
        const command = readFileSync(`/proc/${pid}/cmdline`, 'utf8');
        expect(log).to.include('accepting callers');
        expect(command).to.include(name);
        expect(log + command).not.to.include('an example key');
      }
    });

    it('for operators are rotated without a restart', async () => {
      const answersTo = async (token: string, index = 0) =>
        (await get(index, '/v1/status', token)).status === 200;
      const write = async (text: string, test: () => Promise<boolean>) => {
        writeFileSync(system.tokenFile, text);
        system.processes.signal(system.machine(0).name, 'SIGHUP');
        await system.waitUntil('the rotated token to be in effect', test);
      };
      await write(`${NEW_TOKEN}\n${OLD_TOKEN}`, () => answersTo(NEW_TOKEN));
      expect(await answersTo(OLD_TOKEN)).to.equal(true);
      await write(NEW_TOKEN, async () => !(await answersTo(OLD_TOKEN)));
      expect(await answersTo(NEW_TOKEN)).to.equal(true);
      writeFileSync(system.tokenFile, 'short');
      system.processes.signal(system.machine(0).name, 'SIGHUP');
      await timer.sleep(300);
      expect(await answersTo(NEW_TOKEN)).to.equal(true);
      await write(OLD_TOKEN, () => answersTo(OLD_TOKEN));
      // The VMs share the file, and another one may have read it meanwhile.
      for (const [index, {name}] of system.layout.machines.entries()) {
        system.processes.signal(name, 'SIGHUP');
        await system.waitUntil(`the old token on ${name}`, () =>
          answersTo(OLD_TOKEN, index),
        );
      }
    });

    it('between VMs are rotated without losing a VM', async () => {
      const file = join(system.folder, 'peer-key');
      const old = readFileSync(file, 'utf8');
      for (const text of [`${old}\n${NEW_TOKEN}`, `${NEW_TOKEN}\n${old}`]) {
        writeFileSync(file, text);
        for (const {name} of system.layout.machines) {
          system.processes.signal(name, 'SIGHUP');
          await timer.sleep(150);
          expect((await fetchMachineNames(1)).length).to.equal(6);
        }
      }
      await timer.sleep(2_000);
      expect((await fetchMachineNames(3)).length).to.equal(6);
    });
  });

  describe('SIGTERM', () => {
    const signal = (index: number) =>
      system.processes.signal(system.machine(index).name, 'SIGTERM');
    const waitForExit = (index: number) =>
      system.processes.waitForExit(system.machine(index).name);

    it('under load interrupts no request on this or other VMs', async () => {
      const workload = await Workload.start(
        {
          database,
          proxies: system.layout.machines.map(
            ({callerAddress}) => callerAddress,
          ),
          callers: 12,
          readsPerWrite: 2,
          thinkMilliseconds: 1,
          timer,
        },
        'drained',
      );
      await timer.sleep(1_000);
      signal(4);
      expect(await waitForExit(4)).to.equal(0);
      await timer.sleep(500);
      const report = await workload.finish();
      expect(report.writes).to.be.greaterThan(0);
      expect(report.unknown).to.equal(0);
      expect(report.violations).to.deep.equal(NO_VIOLATIONS);
      expect((await fetchMachineNames(1)).length).to.equal(5);
    });

    it('makes the VM unready while it still accepts callers', async () => {
      signal(3);
      await system.waitUntil(
        'the VM to be unready',
        async () => (await get(3, '/ready')).status === 503,
      );
      const client = await connectCaller(3);
      expect((await client.query('SELECT 1 AS one')).rows).to.have.length(1);
      await client.end();
      expect(await waitForExit(3)).to.equal(0);
    });

    it('during the start is followed by a drain', async () => {
      // Guards against: an exit that cuts what a VM took on while it started.
      const machine = system.machine(3);
      const logPath = join(system.folder, `${machine.name}.log`);
      const {length} = readFileSync(logPath, 'utf8');
      system.startMachine(machine);
      // The rest of the start takes less time than the system's own polls.
      while (!(await canConnect(machine.peerAddress))) await timer.sleep(1);
      signal(3);
      expect(await waitForExit(3)).to.equal(0);
      const log = readFileSync(logPath, 'utf8').slice(length);
      expect(log).to.include('drained');
    });

    it('sent twice stops the VM immediately', async () => {
      const client = await connectCaller(2);
      await client.query('BEGIN');
      await client.query('SELECT 1');
      signal(2);
      await timer.sleep(1_000);
      const signalledAt = timer.now();
      signal(2);
      expect(await waitForExit(2)).to.equal(1);
      expect(timer.now() - signalledAt).to.be.lessThan(
        SECOND_SIGNAL_LIMIT_MILLISECONDS,
      );
    });
  });
});
