import {Either, Left, Right} from 'purify-ts';
import {PeerCall, PeerChannel, PeerError, PeerNetwork} from '@apricotlock/peer';

type Handler = (request: never) => Promise<Either<string, unknown>>;

/** Keeps handlers for the test to call; calls of others are answered alike. */
export class FakeNetwork extends PeerNetwork {
  readonly handlers = new Map<string, Handler>();
  /** Whether other processes answer. */
  reachable = true;
  /** Names of the calls that were made. */
  readonly called: string[] = [];

  override async call<Request, Answer>(
    _to: unknown,
    call: PeerCall<Request, Answer>,
  ): Promise<Either<PeerError, Answer>> {
    this.called.push(call.name);
    if (!this.reachable) return Left({kind: 'noAnswer', reason: 'silent'});
    return Right({stopped: true} as Answer);
  }

  override converse(): PeerChannel<never, never> {
    throw new Error('no conversations here');
  }

  override handle<Request, Answer>(
    call: PeerCall<Request, Answer>,
    handler: (request: Request) => Promise<Either<string, Answer>>,
  ): void {
    this.handlers.set(call.name, handler as Handler);
  }

  override handleConversation(): void {
    throw new Error('no conversations here');
  }

  override async close(): Promise<void> {
    this.handlers.clear();
  }
}
