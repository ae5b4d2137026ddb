import {Either, Left} from 'purify-ts';
import {Address} from './peer_address.js';
import {PeerCall} from './peer_call.js';
import {PeerChannel} from './peer_channel.js';
import {PeerError} from './peer_error.js';
import {CallHandler, PeerNetwork} from './peer_network.js';

/**
 * A network on which no other process answers or calls, for tests of other
 * packages, which may override what they need.
 */
export class SilentPeerNetwork extends PeerNetwork {
  override async call<Request, Answer>(
    _to: Address,
    _call: PeerCall<Request, Answer>,
    _request: Request,
    _timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>> {
    return Left({kind: 'noAnswer', reason: 'silent'});
  }

  override converse(): PeerChannel<never, never> {
    throw new Error('this network has no conversations');
  }

  override handle<Request, Answer>(
    _call: PeerCall<Request, Answer>,
    _handler: CallHandler<Request, Answer>,
  ): void {
    // Nobody calls.
  }

  override handleConversation(): void {
    // Nobody calls.
  }

  override async close(): Promise<void> {
    // There is nothing to close.
  }
}
