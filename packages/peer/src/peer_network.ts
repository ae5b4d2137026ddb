import {Either} from 'purify-ts';
import {Address} from './peer_address.js';
import {PeerCall, PeerConversation} from './peer_call.js';
import {PeerChannel} from './peer_channel.js';
import {PeerError} from './peer_error.js';

/** Answers requests of one kind; `Left` refuses with a reason. */
export type CallHandler<Request, Answer> = (
  request: Request,
) => Promise<Either<string, Answer>>;

/** Carries on conversations of one kind, until it returns. */
export type ConversationHandler<Opening, Up, Down> = (
  opening: Opening,
  channel: PeerChannel<Down, Up>,
) => Promise<void>;

/** Calls between the system's own processes. */
export abstract class PeerNetwork {
  /** Sends a request and waits for its answer. */
  abstract call<Request, Answer>(
    to: Address,
    call: PeerCall<Request, Answer>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>>;

  /** Opens a conversation; it ends by itself if the link is lost. */
  abstract converse<Opening, Up, Down>(
    to: Address,
    conversation: PeerConversation<Opening, Up, Down>,
    opening: Opening,
  ): PeerChannel<Up, Down>;

  /** Answers requests of this kind from now on. */
  abstract handle<Request, Answer>(
    call: PeerCall<Request, Answer>,
    handler: CallHandler<Request, Answer>,
  ): void;

  /** Carries on conversations of this kind from now on. */
  abstract handleConversation<Opening, Up, Down>(
    conversation: PeerConversation<Opening, Up, Down>,
    handler: ConversationHandler<Opening, Up, Down>,
  ): void;

  /** Ends every link and listens no more. */
  abstract close(): Promise<void>;
}
