import {Either, Left, Right} from 'purify-ts';
import {PeerCall, PeerError, SilentPeerNetwork} from '@apricotlock/peer';

type Handler = (request: never) => Promise<Either<string, unknown>>;

/**
 * Stores handlers for the test to call, and gives the same answer to all
 * outgoing calls.
 */
export class FakeNetwork extends SilentPeerNetwork {
  readonly handlers = new Map<string, Handler>();
  /** Whether other processes answer. */
  reachable = true;
  /** Called before each outgoing call. */
  onCall: () => Promise<void> = async () => undefined;
  /** Names of the outgoing calls. */
  readonly called: string[] = [];

  override async call<Request, Answer>(
    _to: unknown,
    call: PeerCall<Request, Answer>,
  ): Promise<Either<PeerError, Answer>> {
    this.called.push(call.name);
    await this.onCall();
    if (!this.reachable) return Left({kind: 'noAnswer', reason: 'silent'});
    return Right({stopped: true} as Answer);
  }

  override handle<Request, Answer>(
    call: PeerCall<Request, Answer>,
    handler: (request: Request) => Promise<Either<string, Answer>>,
  ): void {
    this.handlers.set(call.name, handler as Handler);
  }

  override async close(): Promise<void> {
    this.handlers.clear();
  }
}
