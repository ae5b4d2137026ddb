import {Either} from 'purify-ts';
import {Access} from './statement.js';
import {LogPosition} from './log_position.js';
import {StatementAnswer} from './answer.js';

/** A command that is sent to a member on a connection. */
export type MemberCommand =
  | {
      readonly kind: 'begin';
      readonly readOnly: boolean;
      /** The minimum log position that the member must have reached. */
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
  /** Clears all values and prepared statements of the connection. */
  | {readonly kind: 'reset'}
  /** A caller's statement, with the request id of the caller. */
  | {
      readonly kind: 'caller';
      readonly requestId: string;
      readonly text: string;
      readonly floor: LogPosition | undefined;
    }
  /** Runs a prepared statement under the name used in `prepare`. */
  | {
      readonly kind: 'execute';
      readonly requestId: string;
      readonly name: string;
      readonly parameters: string;
      readonly floor: LogPosition | undefined;
    };

/** The connection ended, stopped answering or violated the protocol. */
export interface ConnectionError {
  readonly kind: 'connectionLost';
  readonly reason: string;
}

/** The reason why a connection to a member could not be opened. */
export interface ConnectError {
  readonly kind:
    /** No process listens at the address. */
    | 'refused'
    /** The connection attempt timed out, or the network reported no route. */
    | 'unreachable'
    /** A different member answers at the address. */
    | 'otherMember'
    /** The member has reached its maximum number of connections. */
    | 'tooManyConnections';
  readonly reason: string;
}

/** The role and log position that a member reports for itself. */
export interface MemberReport {
  readonly role: 'primary' | 'replica';
  /** The term that the member's log has reached. */
  readonly term: number;
  /** The position up to which the member has received the log. */
  readonly received: LogPosition;
  /**
   * The term for which the member was fenced and receives no more of the log;
   * 0 if it is not fenced.
   */
  readonly fencedTerm: number;
}

/** A connection to a member, which carries one exchange at a time. */
export abstract class MemberConnection {
  /** Whether the connection is open and can start another exchange. */
  abstract readonly usable: boolean;

  /** Resolves once the connection has ended for any reason. */
  abstract readonly ended: Promise<void>;

  /**
   * Sends several commands together and resolves to their answers in order.
   * After `Left` the connection is closed and it is unknown which of the
   * commands were run.
   */
  abstract run(
    commands: readonly MemberCommand[],
    timeoutMilliseconds: number,
  ): Promise<Either<ConnectionError, readonly StatementAnswer[]>>;

  /**
   * Requests a report from the member. Resolves to `Left` also if the member is
   * too busy to answer.
   */
  abstract report(
    timeoutMilliseconds: number,
  ): Promise<Either<ConnectionError, MemberReport>>;

  /**
   * Fences a replica for a term: it receives no more of the log until it is
   * released.
   */
  abstract fence(
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<ConnectionError, MemberReport>>;

  /** Releases a fenced replica, so that it receives the log again. */
  abstract release(
    timeoutMilliseconds: number,
  ): Promise<Either<ConnectionError, MemberReport>>;

  /** Turns a primary of a term lower than `term` into a replica. */
  abstract stepDown(
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<ConnectionError, MemberReport>>;

  /** Closes the connection at once; an open transaction is rolled back. */
  abstract close(): void;
}

/** The identity and address of a member to connect to. */
export interface MemberTarget {
  readonly database: string;
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** Opens connections to members. */
export abstract class MemberConnector {
  /**
   * Opens a connection and verifies that the target member answers on it;
   * otherwise resolves to `Left` with kind `otherMember`. The member is told the
   * organisation for which the connection is used, if there is one.
   */
  abstract connect(
    target: MemberTarget,
    timeoutMilliseconds: number,
    organisation?: string,
  ): Promise<Either<ConnectError, MemberConnection>>;
}
