import {once} from 'node:events';
import {connect, createServer, Server, Socket} from 'node:net';
import {expect} from 'chai';
import {testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {FaultPlan, FaultRelay, findSocketOwner} from '../src/index.js';

const HOST = '127.0.0.1';
const ECHO_PORT = testPort(1300);
const RELAY_PORT = testPort(1301);
const RESPONSE_WAIT_MILLISECONDS = 60;

describe('FaultRelay', () => {
  const timer = SystemTimerService.create();
  let plan: FaultPlan;
  let echo: Server;
  let relay: FaultRelay;
  let receivedByEcho: string;
  let sockets: Socket[];

  beforeEach(async () => {
    plan = FaultPlan.create();
    receivedByEcho = '';
    sockets = [];
    echo = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', chunk => {
        receivedByEcho += chunk.toString();
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

  async function connectClient(): Promise<Socket> {
    const socket = connect(RELAY_PORT, HOST);
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    sockets.push(socket);
    return socket;
  }

  function waitForClose(socket: Socket): Promise<void> {
    return new Promise(resolve => socket.once('close', () => resolve()));
  }

  /** Returns what arrives within the time that a relay without faults needs. */
  async function sendAndReceive(socket: Socket, text: string): Promise<string> {
    let received = '';
    const listener = (chunk: Buffer) => (received += chunk.toString());
    socket.on('data', listener);
    socket.write(text);
    await timer.sleep(RESPONSE_WAIT_MILLISECONDS);
    socket.off('data', listener);
    return received;
  }

  it('relays bytes in both directions', async () => {
    expect(await sendAndReceive(await connectClient(), 'hello')).to.equal(
      'hello',
    );
  });

  it('holds back bytes in one direction until healed', async () => {
    const socket = await connectClient();
    plan.partitionOneWay(['echo'], ['client']);
    expect(await sendAndReceive(socket, 'one')).to.equal('');
    expect(receivedByEcho).to.equal('one');
    plan.heal();
    expect(await sendAndReceive(socket, 'two')).to.equal('onetwo');
  });

  it('holds back bytes both ways between the named sides only', async () => {
    const socket = await connectClient();
    plan.partition(['client'], ['another']);
    expect(await sendAndReceive(socket, 'a')).to.equal('a');
    plan.partition(['client'], ['echo']);
    expect(await sendAndReceive(socket, 'b')).to.equal('');
    expect(receivedByEcho).to.equal('a');
  });

  it('silences open connections for good while new ones work', async () => {
    const oldSocket = await connectClient();
    expect(await sendAndReceive(oldSocket, 'a')).to.equal('a');
    relay.silenceConnections();
    expect(await sendAndReceive(oldSocket, 'b')).to.equal('');
    expect(oldSocket.destroyed).to.equal(false);
    expect(await sendAndReceive(await connectClient(), 'c')).to.equal('c');
  });

  it('delays bytes and preserves their order', async () => {
    const socket = await connectClient();
    const start = timer.now();
    plan.delay(['client'], ['echo'], RESPONSE_WAIT_MILLISECONDS);
    socket.write('a');
    await timer.sleep(RESPONSE_WAIT_MILLISECONDS / 2);
    plan.heal();
    socket.write('b');
    while (receivedByEcho.length < 2) await timer.sleep(1);
    expect(timer.now() - start).to.be.at.least(RESPONSE_WAIT_MILLISECONDS - 1);
    expect(receivedByEcho).to.equal('ab');
  });

  it('resets open connections', async () => {
    const socket = await connectClient();
    await sendAndReceive(socket, 'a');
    const closed = waitForClose(socket);
    relay.resetConnections();
    await closed;
  });

  it('refuses a connection that the target refuses', async () => {
    const closed = once(echo, 'close');
    echo.close();
    await closed;
    const socket = connect(RELAY_PORT, HOST);
    socket.on('error', () => undefined);
    await waitForClose(socket);
  });

  it('finds the process that opened a connection', async () => {
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
