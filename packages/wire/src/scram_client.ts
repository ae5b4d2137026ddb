import {
  createHash,
  createHmac,
  pbkdf2,
  randomBytes,
  timingSafeEqual,
} from 'node:crypto';
import {promisify} from 'node:util';
import {Either, Left, Right} from 'purify-ts';

const KEY_BYTES = 32;
const NONCE_BYTES = 18;
const MAXIMUM_ITERATIONS = 1_000_000;
/** No channel binding: `n,,` in base64. */
const CHANNEL_BINDING = 'biws';
const SERVER_FIRST_PATTERN = /^r=([^,]+),s=([A-Za-z0-9+/=]+),i=([0-9]{1,7})$/;
const SERVER_FINAL_PATTERN = /^v=([A-Za-z0-9+/=]+)$/;

const derive = promisify(pbkdf2);

/** The server broke the exchange, or does not know the password itself. */
export interface ScramError {
  readonly kind: 'malformedChallenge' | 'serverNotProved';
}

/** The mechanism's name in SASL. */
export const SCRAM_MECHANISM = 'SCRAM-SHA-256';

/**
 * The client's side of SCRAM-SHA-256. Both sides prove that they know the
 * password, and neither sends it. Source: RFC 5802 and RFC 7677.
 */
export class ScramClient {
  private expectedSignature: Buffer | undefined;

  private constructor(
    private readonly password: string,
    private readonly nonce: string,
    private readonly user: string,
  ) {}

  /** Begins an exchange. PostgreSQL takes the user from start-up. */
  static begin(
    password: string,
    nonce = randomBytes(NONCE_BYTES).toString('base64'),
    user = '',
  ): ScramClient {
    return new ScramClient(password.normalize('NFKC'), nonce, user);
  }

  /** The first message, for the server. */
  get firstMessage(): string {
    return `n,,${this.firstBare}`;
  }

  /** The proof, once the server's first message has come. */
  async prove(serverFirst: string): Promise<Either<ScramError, string>> {
    const match = SERVER_FIRST_PATTERN.exec(serverFirst);
    if (match === null) return Left({kind: 'malformedChallenge'});
    const [, nonce, salt, count] = match as unknown as string[];
    const iterations = Number(count);
    const fresh =
      nonce !== this.nonce && nonce?.startsWith(this.nonce) === true;
    if (!fresh || iterations < 1 || iterations > MAXIMUM_ITERATIONS) {
      return Left({kind: 'malformedChallenge'});
    }
    const salted = await derive(
      this.password,
      Buffer.from(salt as string, 'base64'),
      iterations,
      KEY_BYTES,
      'sha256',
    );
    const withoutProof = `c=${CHANNEL_BINDING},r=${nonce}`;
    const exchange = `${this.firstBare},${serverFirst},${withoutProof}`;
    const clientKey = hmac(salted, 'Client Key');
    const storedKey = createHash('sha256').update(clientKey).digest();
    const proof = exclusiveOr(clientKey, hmac(storedKey, exchange));
    this.expectedSignature = hmac(hmac(salted, 'Server Key'), exchange);
    return Right(`${withoutProof},p=${proof.toString('base64')}`);
  }

  /** Checks the proof in the server's last message. */
  verify(serverFinal: string): Either<ScramError, true> {
    const match = SERVER_FINAL_PATTERN.exec(serverFinal);
    const given = Buffer.from(match?.[1] ?? '', 'base64');
    const expected = this.expectedSignature;
    const proved =
      expected !== undefined &&
      given.length === expected.length &&
      timingSafeEqual(given, expected);
    return proved ? Right(true) : Left({kind: 'serverNotProved'});
  }

  private get firstBare(): string {
    return `n=${this.user},r=${this.nonce}`;
  }
}

function hmac(key: Buffer, text: string): Buffer {
  return createHmac('sha256', key).update(text).digest();
}

function exclusiveOr(left: Buffer, right: Buffer): Buffer {
  return Buffer.from(left.map((byte, index) => byte ^ (right[index] ?? 0)));
}
