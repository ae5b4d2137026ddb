import {generate} from 'selfsigned';

const MILLISECONDS_A_DAY = 86_400_000;
const LOOPBACK = '127.0.0.1';

/** A certificate with its key, and what signed it, as PEM texts. */
export interface TestIdentity {
  readonly certificate: string;
  readonly privateKey: string;
  readonly authority: string;
}

/** An authority that lives as long as a test. */
export class TestAuthority {
  private constructor(
    readonly certificate: string,
    private readonly privateKey: string,
  ) {}

  /** A new authority, which nobody trusts yet. */
  static async create(name: string): Promise<TestAuthority> {
    const made = await generate([{name: 'commonName', value: name}], {
      keyType: 'ec',
      algorithm: 'sha256',
      notAfterDate: new Date(Date.now() + MILLISECONDS_A_DAY),
      extensions: [
        {name: 'basicConstraints', cA: true, critical: true},
        {name: 'keyUsage', keyCertSign: true, cRLSign: true, critical: true},
      ],
    });
    return new TestAuthority(made.cert, made.private);
  }

  /** Signs a certificate for a process on this machine. */
  async issue(name: string): Promise<TestIdentity> {
    const made = await generate([{name: 'commonName', value: name}], {
      keyType: 'ec',
      algorithm: 'sha256',
      notAfterDate: new Date(Date.now() + MILLISECONDS_A_DAY),
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
      certificate: made.cert,
      privateKey: made.private,
      authority: this.certificate,
    };
  }
}
