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

/** Why a server could not be satisfied, or was not believed. */
export type BackendAuthenticationError =
  | {readonly kind: 'unsupportedAuthentication'; readonly method: number}
  /** It asks for a password, and there is none. */
  | {readonly kind: 'noPassword'}
  /** It does not know the password itself, or broke the exchange. */
  | {readonly kind: 'serverNotProved'};

/** Answers a server's authentication requests, one after the other. */
export class BackendAuthentication {
  private scram: ScramClient | undefined;
  private serverProved = false;

  private constructor(
    private readonly password: string | undefined,
    private readonly encrypted: boolean,
  ) {}

  /** Begins; a password is sent in clear text only if `encrypted`. */
  static begin(
    password: string | undefined,
    encrypted: boolean,
  ): BackendAuthentication {
    return new BackendAuthentication(password, encrypted);
  }

  /** The bytes to answer a request with; none if there is nothing to say. */
  async answer(
    frame: Frame,
  ): Promise<Either<BackendAuthenticationError, Buffer | undefined>> {
    const method = frame.bytes.readInt32BE(FRAME_HEADER_BYTES);
    const data = frame.bytes.subarray(FRAME_HEADER_BYTES + METHOD_BYTES);
    switch (method) {
      case METHOD_OK:
        // A server that asked for a proof has to give its own.
        return this.scram !== undefined && !this.serverProved
          ? Left({kind: 'serverNotProved'})
          : Right(undefined);
      case METHOD_CLEAR_TEXT:
        return this.clearText(method);
      case METHOD_SASL:
        return this.beginScram(data, method);
      case METHOD_SASL_CONTINUE:
        return this.prove(data.toString('utf8'));
      case METHOD_SASL_FINAL:
        return this.verify(data.toString('utf8'));
      default:
        return Left({kind: 'unsupportedAuthentication', method});
    }
  }

  private clearText(
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
    const offered = data.toString('utf8').split('\0');
    if (!offered.includes(SCRAM_MECHANISM)) {
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

  private async prove(
    serverFirst: string,
  ): Promise<Either<BackendAuthenticationError, Buffer>> {
    if (this.scram === undefined) return Left({kind: 'serverNotProved'});
    const proof = await this.scram.prove(serverFirst);
    return proof
      .map(text => serialize.sendSCRAMClientFinalMessage(text) as Buffer)
      .mapLeft(() => ({kind: 'serverNotProved'}));
  }

  private verify(
    serverFinal: string,
  ): Either<BackendAuthenticationError, undefined> {
    const proved = this.scram?.verify(serverFinal).isRight() ?? false;
    this.serverProved = proved;
    return proved ? Right(undefined) : Left({kind: 'serverNotProved'});
  }
}
