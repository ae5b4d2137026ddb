import {expect} from 'chai';
import {createServer, Server} from 'node:net';
import {Right} from 'purify-ts';
import {createSecureContext, SecureContext} from 'node:tls';
import {TestAuthority, testPort} from '@apricotlock/testing';
import {
  acceptCaller,
  openBackendConnection,
  ScramClient,
  scramVerifier,
  ScramVerifier,
} from '../src/index.js';

const PORT = testPort(1_250);
const MAXIMUM_BYTES = 1 << 20;
const PASSWORD = 'pencil';

describe('ScramClient', () => {
  const nonce = 'rOprNGfwEbeRWgbNEkqO';
  const serverNonce = `${nonce}%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0`;
  const serverFirst = `r=${serverNonce},s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096`;

  it('gives the proofs of RFC 7677, section 3', async () => {
    const client = ScramClient.begin(PASSWORD, nonce, 'user');
    expect(client.firstMessage).to.equal(`n,,n=user,r=${nonce}`);
    const proof = await client.prove(serverFirst);
    expect(proof.extract()).to.equal(
      `c=biws,r=${serverNonce},` +
        'p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=',
    );
    const final = 'v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=';
    expect(client.verify(final).isRight()).to.equal(true);
    expect(client.verify('v=AAAA').isLeft()).to.equal(true);
  });

  it('refuses a challenge that is not for it', async () => {
    for (const challenge of [
      serverFirst.replace(nonce, 'another'),
      `r=${nonce},s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096`,
      `r=${serverNonce},s=W22ZaJ0SNY7soEsUEjb6gQ==,i=9999999`,
      'e=other-error',
    ]) {
      const proof = await ScramClient.begin(PASSWORD, nonce).prove(challenge);
      expect(proof.isLeft()).to.equal(true);
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
    verifier = await scramVerifier(PASSWORD);
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

  it('proves that it knows the password', async () => {
    const opened = await open(PASSWORD);
    expect(opened.unsafeCoerce()).to.include({processId: 7, secret: 8});
  });

  it('leaves no timer behind on the side that accepts', async () => {
    const timers = () =>
      process.getActiveResourcesInfo().filter(name => name === 'Timeout');
    await open(PASSWORD);
    const before = timers().length;
    for (const password of [PASSWORD, 'wrong', PASSWORD]) await open(password);
    await new Promise(resolve => setImmediate(resolve));
    expect(timers().length).to.equal(before);
  });

  it('tells a wrong password from an outage', async () => {
    const opened = await open('wrong');
    expect(opened.extract()).to.have.nested.property('error.code', '28P01');
    expect((await open(undefined)).extract()).to.include({kind: 'noPassword'});
  });

  it('does not believe a server that does not know the password', async () => {
    const {serverKey} = await scramVerifier('another');
    verifier = {...verifier, serverKey};
    const opened = await open(PASSWORD);
    expect(opened.extract()).to.include({kind: 'serverNotProved'});
  });

  it('sends nothing to a server that offers no TLS', async () => {
    const opened = await open(PASSWORD, true);
    expect(opened.extract()).to.include({kind: 'notProtected'});
  });

  describe('over TLS', () => {
    async function protect(name: string): Promise<TestAuthority> {
      const signing = await TestAuthority.create(name);
      const {certificate, privateKey} = await signing.issue('member');
      secureContext = createSecureContext({cert: certificate, key: privateKey});
      return signing;
    }

    it('opens a connection to a server that it can trust', async () => {
      authority = (await protect('members')).certificate;
      const opened = await open(PASSWORD, true);
      expect(opened.unsafeCoerce()).to.include({processId: 7, secret: 8});
    });

    it('refuses a certificate of another authority', async () => {
      await protect('somebody else');
      authority = (await TestAuthority.create('members')).certificate;
      const opened = await open(PASSWORD, true);
      expect(opened.extract()).to.include({kind: 'notProtected'});
    });
  });
});
