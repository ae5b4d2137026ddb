import {PeerCall, PeerConversation} from '@apricotlock/peer';
import {Position} from '@apricotlock/session';
import {TransactionStatus} from '@apricotlock/wire';

/** What a read has to show at least. */
export interface ReadFloor {
  readonly term: number;
  readonly position: Position;
}

/** A wish for a connection to one member. */
export interface LeaseRequest {
  readonly database: string;
  readonly member: string;
  /** The catalogue entry for whose caller it is. */
  readonly entry: string;
  /** Tells sessions of one entry apart, for fairness. */
  readonly session: string;
  readonly purpose: 'read' | 'write';
  /** For a write: the term in which the member is the primary. */
  readonly term: number;
  /** For a read: what it has to show at least. */
  readonly floor: ReadFloor | undefined;
  /** How long a replica may take to reach the floor, in milliseconds. */
  readonly floorWaitMilliseconds: number;
  /** How long the request may wait for a connection, in milliseconds. */
  readonly queueMilliseconds: number;
  /** The first statements, to spare a message; `granted` is then not sent. */
  readonly first?: RunMessage;
}

/** Why there is no connection; nothing has been run. */
export type LeaseRefusal =
  /** This entry VM does not own the member. */
  | {readonly kind: 'notOwner'}
  /** The replica has not reached the floor. */
  | {readonly kind: 'behind'}
  /** The member is not the primary of the term, or not in its history. */
  | {readonly kind: 'wrongTerm'}
  /** The member takes no new work. */
  | {readonly kind: 'draining'}
  /** The queue is full, or time ran out in it. */
  | {readonly kind: 'overloaded'; readonly retryAfterMilliseconds: number}
  | {readonly kind: 'unreachable'}
  /** The owner's catalogue has no such entry, yet or any more. */
  | {readonly kind: 'unknownEntry'}
  /** The holder has asked for it while the statements waited. */
  | {readonly kind: 'cancelled'};

/** Statements to run. */
export interface RunMessage {
  readonly kind: 'run';
  readonly bytes: Buffer;
  /** How many times the member will say that it is ready. */
  readonly answers: number;
  /** Whether statements have left something that must be reset. */
  readonly reset: boolean;
}

/** What the holder of a lease says. */
export type LeaseUp =
  | RunMessage
  /** A confirmed part of the answer was passed on; there is room for more. */
  | {readonly kind: 'more'}
  /** The statements that wait or run are to be cancelled. */
  | {readonly kind: 'cancel'}
  /** The lease is over; a transaction left open is rolled back. */
  | {readonly kind: 'release'};

/** What the owner says. */
export type LeaseDown =
  | {readonly kind: 'refused'; readonly refusal: LeaseRefusal}
  | {readonly kind: 'granted'}
  | {
      readonly kind: 'answer';
      /** Whole messages. */
      readonly bytes: Buffer;
      /**
       * Whether a majority holds all that the answer has shown up to here.
       * Then it may be passed on, and the owner waits for `more`.
       */
      readonly confirmed?: boolean;
    }
  | {
      readonly kind: 'finished';
      /** The rest of the answer. */
      readonly answer?: Buffer;
      readonly status: TransactionStatus;
      readonly term: number;
      /** What the answer may have shown, if the member said so. */
      readonly position: Position | undefined;
      /** Whether a majority holds all of that in this term. */
      readonly confirmed: boolean;
    }
  /** The connection was lost; `sent` tells whether bytes may have left. */
  | {readonly kind: 'lost'; readonly sent: boolean};

/** Where a group stands, as its primary says at the moment of asking. */
export interface GroupPosition {
  readonly term: number;
  readonly position: Position;
}

/** A lease of a connection, from an owner. */
export const LEASE = PeerConversation.define<LeaseRequest, LeaseUp, LeaseDown>(
  'backend.lease',
  candidate => (isLeaseRequest(candidate) ? candidate : undefined),
  candidate => (isKinded<LeaseUp>(candidate) ? candidate : undefined),
  candidate => (isKinded<LeaseDown>(candidate) ? candidate : undefined),
);

/** Asks the owner of a database's primary where the group stands. */
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

function isKinded<T extends {readonly kind: string}>(
  candidate: unknown,
): candidate is T {
  return hasFields(candidate, {kind: 'string'});
}

function hasFields(
  candidate: unknown,
  types: Readonly<Record<string, string>>,
): boolean {
  if (typeof candidate !== 'object' || candidate === null) return false;
  const values = candidate as Readonly<Record<string, unknown>>;
  return Object.entries(types).every(
    ([name, type]) => typeof values[name] === type,
  );
}
