import {Either} from 'purify-ts';
import {Address} from '@apricotlock/topology';
import {MemberStatus} from './member_status.js';

/** The reason why a call to a member failed. */
export type MemberError =
  /** The connection was refused or reset: the process is not running. */
  | {readonly kind: 'connectionRefused'}
  /** No answer arrived before the timeout. */
  | {readonly kind: 'timedOut'}
  /** The member is fenced at a later term, or its state forbids the call. */
  | {readonly kind: 'refused'; readonly reason: string}
  /** The answer was not a valid status. */
  | {readonly kind: 'malformedAnswer'};

/** Options of a request for a member's status. */
export interface StatusRequest {
  /**
   * If set, the member answers once its status differs from this one, or when
   * the hold time is over.
   */
  readonly knownStatus?: MemberStatus;
  /** How long the member may delay its answer, in milliseconds. */
  readonly holdMilliseconds: number;
  /** Time in milliseconds after which the call fails with `timedOut`. */
  readonly timeoutMilliseconds: number;
  /** Whether to open a new connection: a reused one may be unresponsive. */
  readonly freshConnection?: boolean;
}

/** The primary from which a replica receives the log. */
export interface ReplicationSource {
  readonly name: string;
  readonly apiAddress: Address;
}

/**
 * A client of the member API of backend servers, which covers all requests to a
 * member except running statements. Other kinds of members need another
 * subclass. Each call resolves with the status of the member.
 */
export abstract class MemberClient {
  /** Requests the status of the member. */
  abstract fetchStatus(
    member: Address,
    request: StatusRequest,
  ): Promise<Either<MemberError, MemberStatus>>;

  /** Makes the member refuse all terms earlier than `term`. */
  abstract fence(
    member: Address,
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>>;

  /** Makes the member the primary of `term`, with the log that it holds now. */
  abstract promote(
    member: Address,
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>>;

  /** Makes the member a replica of the primary of `term`. */
  abstract follow(
    member: Address,
    term: number,
    source: ReplicationSource,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>>;
}
