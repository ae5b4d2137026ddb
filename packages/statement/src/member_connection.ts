import {Either} from 'purify-ts';
import {Access} from './statement.js';
import {LogPosition} from './log_position.js';
import {StatementAnswer} from './answer.js';

/** One thing that a member is asked to do on a connection. */
export type MemberCommand =
  | {
      readonly kind: 'begin';
      readonly readOnly: boolean;
      /** The member's log must have reached this. */
      readonly floor: LogPosition | undefined;
    }
  | {readonly kind: 'rollback'}
  | {readonly kind: 'setValue'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly access: Access;
      readonly shape: string;
    }
  /** Forgets all values and prepared names of the connection. */
  | {readonly kind: 'reset'}
  /** A caller's statement, with the caller's request id. */
  | {
      readonly kind: 'caller';
      readonly requestId: string;
      readonly text: string;
      readonly floor: LogPosition | undefined;
    }
  /** A caller's prepared statement, under the name that we prepared. */
  | {
      readonly kind: 'execute';
      readonly requestId: string;
      readonly name: string;
      readonly parameters: string;
      readonly floor: LogPosition | undefined;
    };

/** The connection ended, went silent or broke the protocol. */
export interface ConnectionError {
  readonly kind: 'connectionLost';
  readonly reason: string;
}

/** Why there is no connection to a member. */
export interface ConnectError {
  readonly kind:
    /** Nothing listens there: the process is gone. */
    | 'refused'
    /** No answer in time, or the network says that there is no way. */
    | 'unreachable'
    /** Another member answers at the address. */
    | 'otherMember'
    /** The member has as many connections as it takes. */
    | 'tooManyConnections';
  readonly reason: string;
}

/** What a member says of itself. */
export interface MemberReport {
  readonly role: 'primary' | 'replica';
  /** The term that the member's log has reached. */
  readonly term: number;
  /** Up to where the member has received the log. */
  readonly received: LogPosition;
  /** The term at which the member was told to receive nothing more; or 0. */
  readonly fencedTerm: number;
}

/** One connection to a member; one exchange is under way on it at a time. */
export abstract class MemberConnection {
  /** Whether another exchange can be made on it. */
  abstract readonly usable: boolean;

  /** Resolves once the connection has ended, for whatever reason. */
  abstract readonly ended: Promise<void>;

  /**
   * Sends commands together and gives their answers in order. After `Left` the
   * connection is closed, and nobody knows what of the commands was run.
   */
  abstract run(
    commands: readonly MemberCommand[],
    timeoutMilliseconds: number,
  ): Promise<Either<ConnectionError, readonly StatementAnswer[]>>;

  /** Asks the member about itself; `Left` also if it is too busy to say. */
  abstract report(
    timeoutMilliseconds: number,
  ): Promise<Either<ConnectionError, MemberReport>>;

  /** Has a replica receive nothing until released, in favour of a term. */
  abstract fence(
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<ConnectionError, MemberReport>>;

  /** Lets a fenced replica receive again. */
  abstract release(
    timeoutMilliseconds: number,
  ): Promise<Either<ConnectionError, MemberReport>>;

  /** Makes a primary of a lower term a replica. */
  abstract stepDown(
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<ConnectionError, MemberReport>>;

  /** Ends the connection at once; an open transaction is rolled back. */
  abstract close(): void;
}

/** Which member is meant, and where it is. */
export interface MemberTarget {
  readonly database: string;
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** Opens connections to members. */
export abstract class MemberConnector {
  /** Connects and makes sure that the member is the one that is meant. */
  abstract connect(
    target: MemberTarget,
    timeoutMilliseconds: number,
  ): Promise<Either<ConnectError, MemberConnection>>;
}
