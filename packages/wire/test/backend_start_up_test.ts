import {expect} from 'chai';
import {createServer, Server} from 'node:net';
import {Right} from 'purify-ts';
import {createSecureContext, SecureContext} from 'node:tls';
import {TestAuthority, testPort} from '@apricotlock/testing';
import {
  acceptCaller,
  openBackendConnection,
  ScramClient,
  createScramVerifier,
  ScramVerifier,
} from '../src/index.js';

const PORT = testPort(1_250);
const MAXIMUM_BYTES = 1 << 20;
const PASSWORD = 'pencil';

describe('ScramClient', () => {
  const nonce = 'rOprNGfwEbeRWgbNEkqO';
  const serverNonce = `${nonce}%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0`;
  const serverFirst = `r=${serverNonce},s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096`;

  it('reproduces the exchange in RFC 7677, section 3', async () => {
    const client = ScramClient.begin(PASSWORD, nonce, 'user');
    expect(client.firstMessage).to.equal(`n,,n=user,r=${nonce}`);
    const finalMessage = await client.createFinalMessage(serverFirst);
    expect(finalMessage.extract()).to.equal(
      `c=biws,r=${serverNonce},` +
        'p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=',
    );
    const serverFinal = 'v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=';
    expect(client.verifyServerFinal(serverFinal).isRight()).to.equal(true);
    expect(client.verifyServerFinal('v=AAAA').isLeft()).to.equal(true);
  });

  it('refuses an invalid challenge', async () => {
    for (const challenge of [
      serverFirst.replace(nonce, 'another'),
      `r=${nonce},s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096`,
      `r=${serverNonce},s=W22ZaJ0SNY7soEsUEjb6gQ==,i=9999999`,
      'e=other-error',
    ]) {
      const finalMessage = await ScramClient.begin(
        PASSWORD,
        nonce,
      ).createFinalMessage(challenge);
      expect(finalMessage.isLeft()).to.equal(true);
    }
  });
});

describe('openBackendConnection', () => {
  let server: Server;
  let verifier: ScramVerifier;
  let secureContext: SecureContext | undefined;
  let authority: string;

  before(async () => {
    authority = (await TestAuthority.create('members')).certificate;
  });

  beforeEach(async () => {
    verifier = await createScramVerifier(PASSWORD);
    secureContext = undefined;
    server = createServer(socket => {
      void acceptCaller(socket, {
        maximumMessageBytes: MAXIMUM_BYTES,
        serverVersion: '17.0',
        secureContext,
        processId: 7,
        secret: 8,
        authenticate: () => Right({method: 'scram', verifier}),
      }).then(accepted => {
        if (accepted.isLeft()) socket.end();
      });
    });
    await new Promise<void>(resolve => server.listen(PORT, resolve));
  });

  afterEach(() => new Promise(resolve => server.close(resolve)));

  async function open(password: string | undefined, tls = false) {
    const opened = await openBackendConnection({
      host: '127.0.0.1',
      port: PORT,
      user: 'apricotlock',
      password,
      database: 'holds',
      applicationName: 'test',
      maximumMessageBytes: MAXIMUM_BYTES,
      ...(tls ? {tls: {authorities: [authority]}} : {}),
    });
    opened.ifRight(({stream}) => stream.socket.destroy());
    return opened;
  }

  it('authenticates with the password', async () => {
    const opened = await open(PASSWORD);
    expect(opened.unsafeCoerce()).to.include({processId: 7, secret: 8});
  });

  // The duplex pair of the pg-gateway library polls with timers that never
  // stop, so acceptCaller must not use it.
  it('leaves no timer running on the accepting side', async () => {
    const activeTimers = () =>
      process.getActiveResourcesInfo().filter(name => name === 'Timeout');
    await open(PASSWORD);
    const initialCount = activeTimers().length;
    for (const password of [PASSWORD, 'wrong', PASSWORD]) await open(password);
    await new Promise(resolve => setImmediate(resolve));
    expect(activeTimers().length).to.equal(initialCount);
  });

  it('distinguishes a wrong or missing password from an outage', async () => {
    const opened = await open('wrong');
    expect(opened.extract()).to.have.nested.property('error.code', '28P01');
    expect((await open(undefined)).extract()).to.include({kind: 'noPassword'});
  });

  it('rejects a server that does not know the password', async () => {
    const {serverKey} = await createScramVerifier('another');
    verifier = {...verifier, serverKey};
    const opened = await open(PASSWORD);
    expect(opened.extract()).to.include({kind: 'serverNotProved'});
  });

  it('refuses a server that does not support TLS', async () => {
    const opened = await open(PASSWORD, true);
    expect(opened.extract()).to.include({kind: 'notProtected'});
  });

  describe('over TLS', () => {
    async function enableTls(name: string): Promise<TestAuthority> {
      const issuer = await TestAuthority.create(name);
      const {certificate, privateKey} = await issuer.issue('member');
      secureContext = createSecureContext({cert: certificate, key: privateKey});
      return issuer;
    }

    it('connects to a server with a trusted certificate', async () => {
      authority = (await enableTls('members')).certificate;
      const opened = await open(PASSWORD, true);
      expect(opened.unsafeCoerce()).to.include({processId: 7, secret: 8});
    });

    it('refuses a certificate issued by another authority', async () => {
      await enableTls('somebody else');
      authority = (await TestAuthority.create('members')).certificate;
      const opened = await open(PASSWORD, true);
      expect(opened.extract()).to.include({kind: 'notProtected'});
    });
  });
});
