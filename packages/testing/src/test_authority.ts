import {generate} from 'selfsigned';

const MILLISECONDS_PER_DAY = 86_400_000;
const LOOPBACK = '127.0.0.1';

/** A certificate, its private key and its authority's certificate, in PEM. */
export interface TestIdentity {
  readonly certificate: string;
  readonly privateKey: string;
  readonly authority: string;
}

/** A temporary certificate authority for a test. */
export class TestAuthority {
  private constructor(
    readonly certificate: string,
    private readonly privateKey: string,
  ) {}

  /** Creates an authority with a self-signed certificate. */
  static async create(name: string): Promise<TestAuthority> {
    const generated = await generate([{name: 'commonName', value: name}], {
      keyType: 'ec',
      algorithm: 'sha256',
      notAfterDate: new Date(Date.now() + MILLISECONDS_PER_DAY),
      extensions: [
        {name: 'basicConstraints', cA: true, critical: true},
        {name: 'keyUsage', keyCertSign: true, cRLSign: true, critical: true},
      ],
    });
    return new TestAuthority(generated.cert, generated.private);
  }

  /** Issues a certificate for a server and client on the loopback address. */
  async issue(name: string): Promise<TestIdentity> {
    const generated = await generate([{name: 'commonName', value: name}], {
      keyType: 'ec',
      algorithm: 'sha256',
      notAfterDate: new Date(Date.now() + MILLISECONDS_PER_DAY),
      ca: {key: this.privateKey, cert: this.certificate},
      extensions: [
        {name: 'basicConstraints', cA: false},
        {name: 'extKeyUsage', serverAuth: true, clientAuth: true},
        {
          name: 'subjectAltName',
          altNames: [
            {type: 7, ip: LOOPBACK},
            {type: 2, value: 'localhost'},
          ],
        },
      ],
    });
    return {
      certificate: generated.cert,
      privateKey: generated.private,
      authority: this.certificate,
    };
  }
}
