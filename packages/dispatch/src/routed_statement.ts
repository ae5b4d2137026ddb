import {LogPosition} from '@apricotlock/statement';
import {
  CatalogueEntry,
  Organisation,
  ServiceTerms,
} from '@apricotlock/topology';
import {
  TransactionStart,
  WorkRequest,
  WorkStatement,
  WorkText,
} from '@apricotlock/work';
import {
  attemptQueueMilliseconds,
  remainingObjectiveMilliseconds,
} from './wait_policy.js';
import {ReadRequirement} from './read_order.js';

/** A statement to run on a member, with the requirements of its session. */
export interface RoutedStatement {
  readonly requestId: string;
  readonly text: WorkText;
  readonly opens: TransactionStart;
  readonly values: WorkStatement['values'];
  /** Whether it may run on a replica. */
  readonly readOnly: boolean;
  readonly entry: CatalogueEntry;
  readonly terms: ServiceTerms;
  /** When the first byte of the statement was read, on the timer's clock. */
  readonly receivedAt: number;
  /** The last write of the session, `undefined` if it has not written. */
  readonly ownWrite: OwnWrite | undefined;
  /** The organisation of the caller, if it has one. */
  readonly organisation?: Organisation | undefined;
  /**
   * Returns whether the caller's key still permits the statement; asked before
   * each attempt, as a statement may be held for long during a failover.
   */
  readonly isPermitted?: (() => boolean) | undefined;
}

/** The last write of a session, with the time of its acknowledgement. */
export interface OwnWrite {
  readonly position: LogPosition;
  readonly at: number;
}

/** The member chosen for an attempt, and the conditions of the attempt. */
export interface Choice {
  readonly member: string;
  /** The term in which the member must be the primary; 0 for any role. */
  readonly primaryTerm: number;
  /** The minimum log position that the member must have reached. */
  readonly floor: LogPosition | undefined;
  /** How long ago the primary had reached that position, in milliseconds. */
  readonly floorAgeMilliseconds?: number;
  /** Whether the statement may be retried even if it has run. */
  readonly repeatable: boolean;
  readonly timeoutMilliseconds: number;
  /** How long the statement may wait in the queue of the member. */
  readonly waitMilliseconds: number;
}

/** Creates the request to the VM that works on the chosen member. */
export function toWorkRequest(
  statement: RoutedStatement,
  choice: Choice,
  objectiveMilliseconds: number,
): WorkRequest {
  const {requestId, text, opens, values, terms, entry, organisation} =
    statement;
  const {member, primaryTerm, floor, repeatable, timeoutMilliseconds} = choice;
  const waitMilliseconds = attemptQueueMilliseconds(
    choice.waitMilliseconds,
    timeoutMilliseconds,
  );
  return {
    database: entry.database,
    member,
    primaryTerm,
    priority: terms.priority,
    waitMilliseconds,
    objectiveMilliseconds,
    ...(organisation !== undefined && {
      organisation: organisation.name,
      organisationPriority: organisation.priority,
    }),
    first: {
      kind: 'run',
      requestId,
      text,
      opens,
      floor,
      values,
      timeoutMilliseconds,
      repeatable,
    },
  };
}

/**
 * Returns whether a statement may run twice: a read that opens no transaction
 * changes nothing.
 */
export function isRepeatable({readOnly, opens}: RoutedStatement): boolean {
  return readOnly && opens !== 'transaction';
}

/** Returns the requirement with the later log position. */
export function stricterRequirement(
  left: ReadRequirement,
  right: ReadRequirement | undefined,
): ReadRequirement {
  if (right?.floor === undefined) return left;
  if (left.floor === undefined) return right;
  const {term, number} = right.floor;
  const rightIsLater =
    term > left.floor.term ||
    (term === left.floor.term && number > left.floor.number);
  return rightIsLater ? right : left;
}

/** Returns how many milliseconds of its time limit a statement has left. */
export function timeLeft(
  {receivedAt, terms}: RoutedStatement,
  now: number,
): number {
  return Math.max(
    0,
    Math.round(terms.statementMilliseconds - (now - receivedAt)),
  );
}

/** Returns how many milliseconds of its objective a statement has left. */
export function objectiveTimeLeft(
  {receivedAt, terms}: RoutedStatement,
  now: number,
): number {
  return remainingObjectiveMilliseconds(terms, now - receivedAt);
}
