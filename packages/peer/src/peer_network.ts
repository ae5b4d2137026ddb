import {Either} from 'purify-ts';
import {Address} from './peer_address.js';
import {PeerCall} from './peer_call.js';
import {PeerConversation} from './peer_conversation.js';
import {PeerChannel} from './peer_channel.js';
import {PeerError} from './peer_error.js';

/** Answers requests of one type. `Left` refuses a request with a reason. */
export type CallHandler<Request, Answer> = (
  request: Request,
) => Promise<Either<string, Answer>>;

/** Handles conversations of one type. A conversation ends when it resolves. */
export type ConversationHandler<Opening, ClientMessage, ServerMessage> = (
  opening: Opening,
  channel: PeerChannel<ServerMessage, ClientMessage>,
) => Promise<void>;

/** Calls and conversations between the processes of the system. */
export abstract class PeerNetwork {
  /**
   * Sends a request and resolves to its answer, or to an error after
   * `timeoutMilliseconds`.
   */
  abstract call<Request, Answer>(
    to: Address,
    call: PeerCall<Request, Answer>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>>;

  /** Opens a conversation, which ends if the link is lost. */
  abstract converse<Opening, ClientMessage, ServerMessage>(
    to: Address,
    conversation: PeerConversation<Opening, ClientMessage, ServerMessage>,
    opening: Opening,
  ): PeerChannel<ClientMessage, ServerMessage>;

  /** Registers the handler for requests of one type. */
  abstract handle<Request, Answer>(
    call: PeerCall<Request, Answer>,
    handler: CallHandler<Request, Answer>,
  ): void;

  /** Registers the handler for conversations of one type. */
  abstract handleConversation<Opening, ClientMessage, ServerMessage>(
    conversation: PeerConversation<Opening, ClientMessage, ServerMessage>,
    handler: ConversationHandler<Opening, ClientMessage, ServerMessage>,
  ): void;

  /**
   * Closes the link to a process that is considered dead, unless something is
   * in progress on it, so that the next message uses a new connection: the old
   * one may stay silent for seconds after a partition has healed. A network
   * without links does nothing.
   */
  closeIdleLink(_to: Address): void {
    return;
  }

  /** Closes all links and stops listening. */
  abstract close(): Promise<void>;
}
