import {Either} from 'purify-ts';
import {
  ConversationLayout,
  MessageLayout,
  PLAIN_LAYOUT,
} from './message_layout.js';
import {Check, fromCheck} from './peer_call.js';

/** How the messages of one side of a conversation are sent and received. */
export interface MessageCodec<T> {
  /** Returns the value that is sent for a message. */
  readonly pack: (message: T) => unknown;
  /** Returns the message of a received value, `undefined` if it is invalid. */
  readonly read: Check<T>;
}

/**
 * A type of conversation between processes: a bidirectional stream of messages.
 * The client is the side that opens it, the server the side that handles it.
 */
export class PeerConversation<Opening, ClientMessage, ServerMessage> {
  /** @internal */
  readonly clientMessageCodec: MessageCodec<ClientMessage>;
  /** @internal */
  readonly serverMessageCodec: MessageCodec<ServerMessage>;

  private constructor(
    readonly name: string,
    private readonly opening: Check<Opening>,
    private readonly clientMessage: Check<ClientMessage>,
    private readonly serverMessage: Check<ServerMessage>,
    private readonly layout: ConversationLayout<
      Opening,
      ClientMessage,
      ServerMessage
    >,
  ) {
    this.clientMessageCodec = codecOf(layout.clientMessage, clientMessage);
    this.serverMessageCodec = codecOf(layout.serverMessage, serverMessage);
  }

  /**
   * Defines a conversation. `clientMessage` checks the messages sent by the
   * client, and `serverMessage` those sent by the server. Without a layout,
   * messages are sent as they are.
   */
  static define<Opening, ClientMessage, ServerMessage>(
    name: string,
    opening: Check<Opening>,
    clientMessage: Check<ClientMessage>,
    serverMessage: Check<ServerMessage>,
    layout: ConversationLayout<Opening, ClientMessage, ServerMessage> = {
      opening: PLAIN_LAYOUT,
      clientMessage: PLAIN_LAYOUT,
      serverMessage: PLAIN_LAYOUT,
    },
  ): PeerConversation<Opening, ClientMessage, ServerMessage> {
    return new PeerConversation(
      name,
      opening,
      clientMessage,
      serverMessage,
      layout,
    );
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

  /** @internal */
  packOpening(opening: Opening): unknown {
    return this.layout.opening.pack(opening);
  }

  /** @internal */
  readOpening(packed: unknown): Either<'malformed', Opening> {
    return this.checkOpening(this.layout.opening.unpack(packed));
  }
}

function codecOf<T>(
  {pack, unpack}: MessageLayout<T>,
  check: Check<T>,
): MessageCodec<T> {
  return {pack, read: packed => check(unpack(packed))};
}
