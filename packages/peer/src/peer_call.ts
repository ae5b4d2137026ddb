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

/** Returns the outcome of a check. @internal */
export function fromCheck<T>(checked: T | undefined): Either<'malformed', T> {
  return checked === undefined ? Left('malformed') : Right(checked);
}
