import {once} from 'node:events';
import {connect, createServer, Server, Socket} from 'node:net';
import {expect} from 'chai';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {FaultPlan, FaultRelay, findSocketOwner} from '../src/index.js';

const HOST = '127.0.0.1';
const ECHO_PORT = testPort(1300);
const RELAY_PORT = testPort(1301);
const SILENCE_MILLISECONDS = 60;

describe('a fault-injecting relay', () => {
  const timer = SystemTimerService.create();
  let plan: FaultPlan;
  let echo: Server;
  let relay: FaultRelay;
  let seenByEcho: string;
  let sockets: Socket[];

  beforeEach(async () => {
    plan = FaultPlan.create();
    seenByEcho = '';
    sockets = [];
    echo = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', chunk => {
        seenByEcho += chunk.toString();
        socket.write(chunk);
      });
    });
    echo.listen(ECHO_PORT, HOST);
    await once(echo, 'listening');
    relay = await FaultRelay.start({
      listen: {host: HOST, port: RELAY_PORT},
      target: {host: HOST, port: ECHO_PORT},
      targetName: 'echo',
      sourceOf: () => 'client',
      plan,
      timer,
    });
  });

  afterEach(async () => {
    await relay.close();
    for (const socket of sockets) socket.destroy();
    echo.close();
  });

  async function client(): Promise<Socket> {
    const socket = connect(RELAY_PORT, HOST);
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    sockets.push(socket);
    return socket;
  }

  function closing(socket: Socket): Promise<void> {
    return new Promise(resolve => socket.once('close', () => resolve()));
  }

  /** What comes back within the time in which a sound relay answers. */
  async function answer(socket: Socket, text: string): Promise<string> {
    let received = '';
    const listener = (chunk: Buffer) => (received += chunk.toString());
    socket.on('data', listener);
    socket.write(text);
    await timer.sleep(SILENCE_MILLISECONDS);
    socket.off('data', listener);
    return received;
  }

  it('passes bytes both ways', async () => {
    expect(await answer(await client(), 'hello')).to.equal('hello');
  });

  it('keeps bytes back one way only, and delivers them later', async () => {
    const socket = await client();
    plan.partitionOneWay(['echo'], ['client']);
    expect(await answer(socket, 'one')).to.equal('');
    expect(seenByEcho).to.equal('one');
    plan.heal();
    expect(await answer(socket, 'two')).to.equal('onetwo');
  });

  it('keeps bytes back both ways for the named sides only', async () => {
    const socket = await client();
    plan.partition(['client'], ['another']);
    expect(await answer(socket, 'a')).to.equal('a');
    plan.partition(['client'], ['echo']);
    expect(await answer(socket, 'b')).to.equal('');
    expect(seenByEcho).to.equal('a');
  });

  it('makes old connections silent for good while new ones work', async () => {
    const old = await client();
    expect(await answer(old, 'a')).to.equal('a');
    relay.silenceConnections();
    expect(await answer(old, 'b')).to.equal('');
    expect(old.destroyed).to.equal(false);
    expect(await answer(await client(), 'c')).to.equal('c');
  });

  it('delays bytes, and keeps their order', async () => {
    const socket = await client();
    const start = timer.now();
    plan.delay(['client'], ['echo'], SILENCE_MILLISECONDS);
    socket.write('a');
    await timer.sleep(SILENCE_MILLISECONDS / 2);
    plan.heal();
    socket.write('b');
    while (seenByEcho.length < 2) await timer.sleep(1);
    expect(timer.now() - start).to.be.at.least(SILENCE_MILLISECONDS - 1);
    expect(seenByEcho).to.equal('ab');
  });

  it('resets connections', async () => {
    const socket = await client();
    await answer(socket, 'a');
    const closed = closing(socket);
    relay.resetConnections();
    await closed;
  });

  it('refuses where the target refuses', async () => {
    const closed = once(echo, 'close');
    echo.close();
    await closed;
    const socket = connect(RELAY_PORT, HOST);
    socket.on('error', () => undefined);
    await closing(socket);
  });

  it('tells which process made a connection', async () => {
    const accepted = new Promise<Socket>(resolve =>
      echo.once('connection', resolve),
    );
    const direct = connect(ECHO_PORT, HOST);
    sockets.push(direct);
    const processes = new Map([[process.pid, 'this']]);
    expect(findSocketOwner(await accepted, processes)).to.equal('this');
    expect(findSocketOwner(await accepted, new Map())).to.equal(undefined);
  });
});
