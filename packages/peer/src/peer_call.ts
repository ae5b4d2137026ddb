import {Either, Left, Right} from 'purify-ts';

/** Validates a decoded value. Returns `undefined` if it is not a valid `T`. */
export type Check<T> = (candidate: unknown) => T | undefined;

/** A type of request between processes, with its answer. */
export class PeerCall<Request, Answer> {
  private constructor(
    readonly name: string,
    private readonly request: Check<Request>,
    private readonly answer: Check<Answer>,
  ) {}

  /** Defines a call. Both sides of a link use the same definition. */
  static define<Request, Answer>(
    name: string,
    request: Check<Request>,
    answer: Check<Answer>,
  ): PeerCall<Request, Answer> {
    return new PeerCall(name, request, answer);
  }

  /** @internal */
  checkRequest(candidate: unknown): Either<'malformed', Request> {
    return fromCheck(this.request(candidate));
  }

  /** @internal */
  checkAnswer(candidate: unknown): Either<'malformed', Answer> {
    return fromCheck(this.answer(candidate));
  }
}

/**
 * A type of conversation between processes: a bidirectional stream of messages.
 * The client is the side that opens it, the server the side that handles it.
 */
export class PeerConversation<Opening, ClientMessage, ServerMessage> {
  private constructor(
    readonly name: string,
    private readonly opening: Check<Opening>,
    private readonly clientMessage: Check<ClientMessage>,
    private readonly serverMessage: Check<ServerMessage>,
  ) {}

  /**
   * Defines a conversation. `clientMessage` checks the messages sent by the
   * client, and `serverMessage` those sent by the server.
   */
  static define<Opening, ClientMessage, ServerMessage>(
    name: string,
    opening: Check<Opening>,
    clientMessage: Check<ClientMessage>,
    serverMessage: Check<ServerMessage>,
  ): PeerConversation<Opening, ClientMessage, ServerMessage> {
    return new PeerConversation(name, opening, clientMessage, serverMessage);
  }

  /** @internal */
  checkOpening(candidate: unknown): Either<'malformed', Opening> {
    return fromCheck(this.opening(candidate));
  }

  /** @internal */
  get clientMessageCheck(): Check<ClientMessage> {
    return this.clientMessage;
  }

  /** @internal */
  get serverMessageCheck(): Check<ServerMessage> {
    return this.serverMessage;
  }
}

function fromCheck<T>(checked: T | undefined): Either<'malformed', T> {
  return checked === undefined ? Left('malformed') : Right(checked);
}
