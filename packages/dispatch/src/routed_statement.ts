import {LogPosition} from '@apricotlock/statement';
import {CatalogueEntry, ServiceTerms} from '@apricotlock/topology';
import {Opens, WorkRequest, WorkStatement, WorkText} from '@apricotlock/work';
import {attemptQueueMilliseconds} from './patience.js';
import {ReadNeeds} from './read_order.js';

/** A statement that goes to a member, and what its session demands of it. */
export interface RoutedStatement {
  readonly requestId: string;
  readonly text: WorkText;
  readonly opens: Opens;
  readonly values: WorkStatement['values'];
  /** Whether it may run on a replica. */
  readonly readOnly: boolean;
  readonly entry: CatalogueEntry;
  readonly terms: ServiceTerms;
  /** When the caller's first byte of it was read, on the timer's clock. */
  readonly receivedAt: number;
  /** What the session itself wrote, and when that was acknowledged. */
  readonly ownWrite: OwnWrite | undefined;
}

/** The last write of a session. */
export interface OwnWrite {
  readonly position: LogPosition;
  readonly at: number;
}

/** Which member is tried, and under what conditions. */
export interface Choice {
  readonly member: string;
  readonly primaryTerm: number;
  readonly floor: LogPosition | undefined;
  readonly floorAgeMilliseconds?: number;
  /** Whether it may be tried again elsewhere, even if it has run. */
  readonly repeatable: boolean;
  readonly timeoutMilliseconds: number;
  /** How long it may wait at the member. */
  readonly waitMilliseconds: number;
}

/** The request to the VM that works on the chosen member. */
export function workRequest(
  {requestId, text, opens, values, terms, entry}: RoutedStatement,
  choice: Choice,
  objectiveMilliseconds: number,
): WorkRequest {
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

/** A read that opens no transaction leaves nothing behind. */
export function isRepeatable({readOnly, opens}: RoutedStatement): boolean {
  return readOnly && opens !== 'transaction';
}

/** The later of two floors. */
export function strictest(
  left: ReadNeeds,
  right: ReadNeeds | undefined,
): ReadNeeds {
  if (right?.floor === undefined) return left;
  if (left.floor === undefined) return right;
  const {term, number} = right.floor;
  const later =
    term > left.floor.term ||
    (term === left.floor.term && number > left.floor.number);
  return later ? right : left;
}
