import {Either} from 'purify-ts';
import {Address} from '@apricotlock/topology';
import {MemberStatus} from './member_status.js';

/** Why a member gave no answer of use. */
export type MemberError =
  /** It refused the connection or reset it: its process is not there. */
  | {readonly kind: 'connectionRefused'}
  /** Nothing came back in time. */
  | {readonly kind: 'timedOut'}
  /** It is fenced at a later term, or is in a state that forbids the call. */
  | {readonly kind: 'refused'; readonly reason: string}
  | {readonly kind: 'malformedAnswer'};

/** How to ask for a member's status. */
export interface StatusRequest {
  /** Answer once something differs from this, or when time is up. */
  readonly unlike?: MemberStatus;
  /** How long the member may hold back its answer, in milliseconds. */
  readonly holdMilliseconds: number;
  /** After this long without an answer the member counts as silent. */
  readonly timeoutMilliseconds: number;
  /** Use a connection made for this call: old ones may have gone silent. */
  readonly freshConnection?: boolean;
}

/** From whom a replica takes the log. */
export interface ReplicationSource {
  readonly name: string;
  readonly apiAddress: Address;
}

/**
 * The member API of a backend server: everything that the system asks of a
 * member apart from running statements. Members of another kind are served by
 * another class.
 */
export abstract class MemberClient {
  /** Asks what the member says of itself. */
  abstract status(
    member: Address,
    request: StatusRequest,
  ): Promise<Either<MemberError, MemberStatus>>;

  /** Makes the member refuse all terms before `term`; gives its status. */
  abstract fence(
    member: Address,
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>>;

  /** Makes the member the primary of `term`, with the log that it holds. */
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
