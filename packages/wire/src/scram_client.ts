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
/** Limits the processor time that a server can cause with one challenge. */
const MAXIMUM_ITERATIONS = 1_000_000;
/** The GS2 header `n,,` in base64, which means no channel binding. */
const NO_CHANNEL_BINDING = 'biws';
const SERVER_FIRST_PATTERN = /^r=([^,]+),s=([A-Za-z0-9+/=]+),i=([0-9]{1,7})$/;
const SERVER_FINAL_PATTERN = /^v=([A-Za-z0-9+/=]+)$/;

const deriveKey = promisify(pbkdf2);

/**
 * Why an exchange failed: the server's first message is not valid, or the
 * server has not proved that it knows the password.
 */
export interface ScramError {
  readonly kind: 'malformedChallenge' | 'serverNotProved';
}

/** SASL name of the mechanism. */
export const SCRAM_MECHANISM = 'SCRAM-SHA-256';

/**
 * The client side of a SCRAM-SHA-256 exchange, in which both sides prove that
 * they know the password without sending it.
 *
 * Source: RFC 5802 and RFC 7677.
 */
export class ScramClient {
  private expectedServerSignature: Buffer | undefined;

  private constructor(
    private readonly password: string,
    private readonly nonce: string,
    private readonly user: string,
  ) {}

  /**
   * Starts an exchange. `user` may be empty because PostgreSQL takes the user
   * from the start-up message.
   */
  static begin(
    password: string,
    nonce = randomBytes(NONCE_BYTES).toString('base64'),
    user = '',
  ): ScramClient {
    return new ScramClient(password.normalize('NFKC'), nonce, user);
  }

  /** The client-first message. */
  get firstMessage(): string {
    return `n,,${this.clientFirstBare}`;
  }

  /**
   * Returns the client-final message, which contains the proof, in answer to
   * the server-first message. Returns `malformedChallenge` unless the server's
   * nonce extends the client's and the iteration count is within bounds.
   */
  async createFinalMessage(
    serverFirst: string,
  ): Promise<Either<ScramError, string>> {
    const match = SERVER_FIRST_PATTERN.exec(serverFirst);
    if (match === null) return Left({kind: 'malformedChallenge'});
    const [, nonce, salt, iterationText] = match as unknown as string[];
    const iterations = Number(iterationText);
    const extendsNonce =
      nonce !== this.nonce && nonce?.startsWith(this.nonce) === true;
    if (!extendsNonce || iterations < 1 || iterations > MAXIMUM_ITERATIONS) {
      return Left({kind: 'malformedChallenge'});
    }
    const saltedPassword = await deriveKey(
      this.password,
      Buffer.from(salt as string, 'base64'),
      iterations,
      KEY_BYTES,
      'sha256',
    );
    const withoutProof = `c=${NO_CHANNEL_BINDING},r=${nonce}`;
    const transcript = `${this.clientFirstBare},${serverFirst},${withoutProof}`;
    const clientKey = hmac(saltedPassword, 'Client Key');
    const storedKey = createHash('sha256').update(clientKey).digest();
    const proof = xor(clientKey, hmac(storedKey, transcript));
    this.expectedServerSignature = hmac(
      hmac(saltedPassword, 'Server Key'),
      transcript,
    );
    return Right(`${withoutProof},p=${proof.toString('base64')}`);
  }

  /** Verifies the signature in the server-final message. */
  verifyServerFinal(serverFinal: string): Either<ScramError, true> {
    const match = SERVER_FINAL_PATTERN.exec(serverFinal);
    const signature = Buffer.from(match?.[1] ?? '', 'base64');
    const expectedSignature = this.expectedServerSignature;
    const verified =
      expectedSignature !== undefined &&
      signature.length === expectedSignature.length &&
      timingSafeEqual(signature, expectedSignature);
    return verified ? Right(true) : Left({kind: 'serverNotProved'});
  }

  private get clientFirstBare(): string {
    return `n=${this.user},r=${this.nonce}`;
  }
}

function hmac(key: Buffer, text: string): Buffer {
  return createHmac('sha256', key).update(text).digest();
}

function xor(left: Buffer, right: Buffer): Buffer {
  return Buffer.from(left.map((byte, index) => byte ^ (right[index] ?? 0)));
}
