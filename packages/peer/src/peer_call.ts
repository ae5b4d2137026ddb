import {Either, Left, Right} from 'purify-ts';

/** Checks that a decoded value has the shape of `T`. */
export type Check<T> = (candidate: unknown) => T | undefined;

/** One kind of request between processes, with its answer. */
export class PeerCall<Request, Answer> {
  private constructor(
    readonly name: string,
    private readonly request: Check<Request>,
    private readonly answer: Check<Answer>,
  ) {}

  /** Defines a call; both sides of a link use the same definition. */
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

/** One kind of conversation between processes, of many messages each way. */
export class PeerConversation<Opening, Up, Down> {
  private constructor(
    readonly name: string,
    private readonly opening: Check<Opening>,
    private readonly up: Check<Up>,
    private readonly down: Check<Down>,
  ) {}

  /** Defines a conversation; `up` goes to the side that was called. */
  static define<Opening, Up, Down>(
    name: string,
    opening: Check<Opening>,
    up: Check<Up>,
    down: Check<Down>,
  ): PeerConversation<Opening, Up, Down> {
    return new PeerConversation(name, opening, up, down);
  }

  /** @internal */
  checkOpening(candidate: unknown): Either<'malformed', Opening> {
    return fromCheck(this.opening(candidate));
  }

  /** @internal */
  get checkUp(): Check<Up> {
    return this.up;
  }

  /** @internal */
  get checkDown(): Check<Down> {
    return this.down;
  }
}

function fromCheck<T>(checked: T | undefined): Either<'malformed', T> {
  return checked === undefined ? Left('malformed') : Right(checked);
}
