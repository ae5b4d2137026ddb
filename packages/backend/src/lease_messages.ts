import {hasFields, PeerCall, PeerConversation} from '@apricotlock/peer';
import {Position} from '@apricotlock/session';
import {TransactionStatus} from '@apricotlock/wire';

/** The minimum log position that a read must reflect. */
export interface ReadFloor {
  readonly term: number;
  readonly position: Position;
}

/** A request for a connection lease on one member. */
export interface LeaseRequest {
  readonly database: string;
  readonly member: string;
  /** Name of the catalogue entry that the caller uses. */
  readonly entry: string;
  /** Identifies the session, for fairness between sessions of one entry. */
  readonly session: string;
  readonly purpose: 'read' | 'write';
  /** For a write: the term in which the member must be the primary. */
  readonly term: number;
  /** For a read: the minimum log position that it must reflect. */
  readonly floor: ReadFloor | undefined;
  /** For a read: maximum age of the data, in milliseconds. */
  readonly maximumAgeMilliseconds?: number;
  /** How long to wait for a replica to reach `floor`, in milliseconds. */
  readonly floorWaitMilliseconds: number;
  /** How long the request may wait in the queue, in milliseconds. */
  readonly queueMilliseconds: number;
  /**
   * The first statements, which saves a round trip. `granted` is not sent if
   * this is present.
   */
  readonly first?: RunMessage;
}

/** Why a lease was refused. No statement was run. */
export type LeaseRefusal =
  /** This entry VM does not own the member. */
  | {readonly kind: 'notOwner'}
  /**
   * The member is in an earlier term, has not reached `floor`, or its data is
   * older than allowed.
   */
  | {readonly kind: 'behind'}
  /** The member is not the primary of the requested term. */
  | {readonly kind: 'wrongTerm'}
  /** The member accepts no new leases. */
  | {readonly kind: 'draining'}
  /**
   * The queue is full, the expected wait is too long, or no connection and slot
   * became available in time.
   */
  | {readonly kind: 'overloaded'; readonly retryAfterMilliseconds: number}
  /** The owner cannot reach the member. */
  | {readonly kind: 'unreachable'}
  /** The owner's version of the catalogue does not contain the entry. */
  | {readonly kind: 'unknownEntry'}
  /** The lease client cancelled the statements while they waited. */
  | {readonly kind: 'cancelled'};

/** Sends statements to run. */
export interface RunMessage {
  readonly kind: 'run';
  readonly bytes: Buffer;
  /** Number of ReadyForQuery messages that end the answer. */
  readonly answers: number;
  /**
   * Whether the statements may leave session state behind, so that the
   * connection must be reset before another lease uses it.
   */
  readonly reset: boolean;
}

/** Messages from the lease client to the owner. */
export type LeaseClientMessage =
  | RunMessage
  /** The last confirmed part was passed on; the next one may be sent. */
  | {readonly kind: 'more'}
  /** Cancels the statements that wait or run. */
  | {readonly kind: 'cancel'}
  /** Ends the lease; an open transaction is rolled back. */
  | {readonly kind: 'release'};

/** Messages from the owner to the lease client. */
export type LeaseOwnerMessage =
  | {readonly kind: 'refused'; readonly refusal: LeaseRefusal}
  | {readonly kind: 'granted'}
  | {
      readonly kind: 'answer';
      /** Complete protocol messages. */
      readonly bytes: Buffer;
      /**
       * Whether a majority of the group holds all data that the answer has
       * shown so far. If so, the part may be passed on, and the owner waits for
       * `more`.
       */
      readonly confirmed?: boolean;
    }
  | {
      readonly kind: 'finished';
      /** The part of the answer that has not been sent yet. */
      readonly answer?: Buffer;
      readonly status: TransactionStatus;
      readonly term: number;
      /**
       * Log position that covers all data that the answer may have shown;
       * `undefined` if the member did not return one.
       */
      readonly position: Position | undefined;
      /**
       * Whether a majority of the group holds all of that data in the history
       * of `term`.
       */
      readonly confirmed: boolean;
    }
  /**
   * The connection was lost; `sent` is whether statements may have been sent to
   * the member.
   */
  | {readonly kind: 'lost'; readonly sent: boolean};

/** Log position of a group, as reported by its primary when requested. */
export interface GroupPosition {
  readonly term: number;
  readonly position: Position;
}

/** Requests a connection lease from the owner of a member. */
export const LEASE_CONNECTION = PeerConversation.define<
  LeaseRequest,
  LeaseClientMessage,
  LeaseOwnerMessage
>(
  'backend.lease',
  candidate => (isLeaseRequest(candidate) ? candidate : undefined),
  candidate => (hasKind<LeaseClientMessage>(candidate) ? candidate : undefined),
  candidate => (hasKind<LeaseOwnerMessage>(candidate) ? candidate : undefined),
);

/** Requests the group's log position from the owner of its primary. */
export const GROUP_POSITION = PeerCall.define<
  {readonly database: string; readonly term: number},
  GroupPosition
>(
  'backend.position',
  candidate =>
    hasFields(candidate, {database: 'string', term: 'number'})
      ? (candidate as {database: string; term: number})
      : undefined,
  candidate =>
    hasFields(candidate, {term: 'number', position: 'bigint'})
      ? (candidate as GroupPosition)
      : undefined,
);

function isLeaseRequest(candidate: unknown): candidate is LeaseRequest {
  return hasFields(candidate, {
    database: 'string',
    member: 'string',
    entry: 'string',
    session: 'string',
    purpose: 'string',
    term: 'number',
    floorWaitMilliseconds: 'number',
    queueMilliseconds: 'number',
  });
}

function hasKind<T extends {readonly kind: string}>(
  candidate: unknown,
): candidate is T {
  return hasFields(candidate, {kind: 'string'});
}
