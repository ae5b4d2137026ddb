import {Either, Left, Right} from 'purify-ts';
import {serialize} from 'pg-protocol';
import {Frame, FRAME_HEADER_BYTES} from './frame.js';
import {SCRAM_MECHANISM, ScramClient} from './scram_client.js';

const METHOD_OK = 0;
const METHOD_CLEAR_TEXT = 3;
const METHOD_SASL = 10;
const METHOD_SASL_CONTINUE = 11;
const METHOD_SASL_FINAL = 12;
const METHOD_BYTES = 4;

/** Why authentication with a server failed. */
export type BackendAuthenticationError =
  /**
   * The server requests a method that is not supported, or a clear-text
   * password on a connection without TLS.
   */
  | {readonly kind: 'unsupportedAuthentication'; readonly method: number}
  /** The server requests a password, and none is configured. */
  | {readonly kind: 'noPassword'}
  /**
   * The server has not proved that it knows the password, or violated the SCRAM
   * exchange.
   */
  | {readonly kind: 'serverNotProved'};

/** Answers the authentication requests that a server sends during start-up. */
export class BackendAuthentication {
  private scram: ScramClient | undefined;
  private serverVerified = false;

  private constructor(
    private readonly password: string | undefined,
    private readonly encrypted: boolean,
  ) {}

  /**
   * Starts authentication. The password is sent in clear text only if the
   * connection is `encrypted`.
   */
  static begin(
    password: string | undefined,
    encrypted: boolean,
  ): BackendAuthentication {
    return new BackendAuthentication(password, encrypted);
  }

  /**
   * Returns the message that answers an authentication request, or `undefined`
   * if the request needs no answer.
   */
  async answer(
    frame: Frame,
  ): Promise<Either<BackendAuthenticationError, Buffer | undefined>> {
    const method = frame.bytes.readInt32BE(FRAME_HEADER_BYTES);
    const data = frame.bytes.subarray(FRAME_HEADER_BYTES + METHOD_BYTES);
    switch (method) {
      case METHOD_OK:
        // A server that has requested a SCRAM proof must prove that it knows
        // the password, too.
        return this.scram !== undefined && !this.serverVerified
          ? Left({kind: 'serverNotProved'})
          : Right(undefined);
      case METHOD_CLEAR_TEXT:
        return this.answerClearText(method);
      case METHOD_SASL:
        return this.beginScram(data, method);
      case METHOD_SASL_CONTINUE:
        return this.continueScram(data.toString('utf8'));
      case METHOD_SASL_FINAL:
        return this.finishScram(data.toString('utf8'));
      default:
        return Left({kind: 'unsupportedAuthentication', method});
    }
  }

  private answerClearText(
    method: number,
  ): Either<BackendAuthenticationError, Buffer> {
    if (!this.encrypted) {
      return Left({kind: 'unsupportedAuthentication', method});
    }
    if (this.password === undefined) return Left({kind: 'noPassword'});
    return Right(serialize.password(this.password) as Buffer);
  }

  private beginScram(
    data: Buffer,
    method: number,
  ): Either<BackendAuthenticationError, Buffer> {
    const mechanisms = data.toString('utf8').split('\0');
    if (!mechanisms.includes(SCRAM_MECHANISM)) {
      return Left({kind: 'unsupportedAuthentication', method});
    }
    if (this.password === undefined) return Left({kind: 'noPassword'});
    this.scram = ScramClient.begin(this.password);
    const {firstMessage} = this.scram;
    const bytes = serialize.sendSASLInitialResponseMessage(
      SCRAM_MECHANISM,
      firstMessage,
    );
    return Right(bytes as Buffer);
  }

  private async continueScram(
    serverFirst: string,
  ): Promise<Either<BackendAuthenticationError, Buffer>> {
    if (this.scram === undefined) return Left({kind: 'serverNotProved'});
    const finalMessage = await this.scram.createFinalMessage(serverFirst);
    return finalMessage
      .map(text => serialize.sendSCRAMClientFinalMessage(text) as Buffer)
      .mapLeft(() => ({kind: 'serverNotProved'}));
  }

  private finishScram(
    serverFinal: string,
  ): Either<BackendAuthenticationError, undefined> {
    const verified =
      this.scram?.verifyServerFinal(serverFinal).isRight() ?? false;
    this.serverVerified = verified;
    return verified ? Right(undefined) : Left({kind: 'serverNotProved'});
  }
}
