import {PeerCall, PeerConversation} from '@apricotlock/peer';
import {Access, LogPosition, StatementAnswer} from '@apricotlock/statement';

/** What of a caller's statement a member is to run. */
export type WorkText =
  | {readonly kind: 'plain'; readonly text: string}
  | {
      readonly kind: 'prepared';
      readonly access: Access;
      readonly shape: string;
      readonly parameters: string;
    };

/** Which transaction is opened before a statement. */
export type Opens = 'none' | 'readOnlyTransaction' | 'transaction';

/** One statement of a caller, for a member. */
export interface WorkStatement {
  readonly kind: 'run';
  readonly requestId: string;
  readonly text: WorkText;
  readonly opens: Opens;
  /** What the member's log must have reached. */
  readonly floor: LogPosition | undefined;
  /** The session's values, which the connection must have, no more, no less. */
  readonly values: ReadonlyArray<readonly [name: string, value: string]>;
  /** How long the statement may take, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Whether it may run twice without harm: a read outside a transaction. */
  readonly repeatable: boolean;
}

/** Asks for a statement, or a transaction that begins with it. */
export interface WorkRequest {
  readonly database: string;
  readonly member: string;
  /** The term in which the member has to be the primary; 0 for any role. */
  readonly primaryTerm: number;
  /** 0 goes before all others. */
  readonly priority: number;
  /** How long it may wait for a connection and a slot, in milliseconds. */
  readonly waitMilliseconds: number;
  /** How long until its answer is late, in milliseconds; may be past. */
  readonly objectiveMilliseconds: number;
  readonly first: WorkStatement;
}

/** Why work was not begun; nothing was run. */
export type WorkRefusalReason =
  /** It would wait longer than it may. */
  | 'overloaded'
  /** This VM may not use the group's primary now. */
  | 'notHolder'
  /** The member cannot be reached from this VM. */
  | 'unreachable'
  /** The member is leaving, or not known here. */
  | 'unknownMember';

/** A refusal, with the time after which another try makes sense. */
export interface WorkRefusal {
  readonly reason: WorkRefusalReason;
  readonly retryAfterMilliseconds: number;
}

/** What the session says. */
export type WorkUp = WorkStatement | {readonly kind: 'release'};

/** What the VM that works on the member says. */
export type WorkDown =
  | {readonly kind: 'refused'; readonly refusal: WorkRefusal}
  | {
      readonly kind: 'answer';
      readonly answer: StatementAnswer;
      /** How long new work would wait at the member, in milliseconds. */
      readonly expectedWaitMilliseconds: number;
    }
  /** The connection is lost; a transaction on it is rolled back. */
  | {
      readonly kind: 'lost';
      /** Whether the member may have run the statement. */
      readonly mayHaveRun: boolean;
      readonly timedOut: boolean;
      readonly reason: string;
    };

/** Work on a member, carried out by another VM. */
export const WORK = PeerConversation.define<WorkRequest, WorkUp, WorkDown>(
  'work.run',
  candidate => (isWorkRequest(candidate) ? candidate : undefined),
  candidate =>
    hasFields(candidate, {kind: 'string'}) ? (candidate as WorkUp) : undefined,
  candidate =>
    hasFields(candidate, {kind: 'string'})
      ? (candidate as WorkDown)
      : undefined,
);

/** Asks a VM for a sign of life. */
export const PING = PeerCall.define<
  Readonly<Record<string, never>>,
  {readonly alive: boolean}
>(
  'work.ping',
  candidate => (hasFields(candidate, {}) ? {} : undefined),
  candidate =>
    hasFields(candidate, {alive: 'boolean'})
      ? (candidate as {alive: boolean})
      : undefined,
);

/** Asks the VM that may use a primary up to where its log has come. */
export const CURRENT_POSITION = PeerCall.define<
  {readonly database: string; readonly term: number},
  LogPosition
>(
  'work.currentPosition',
  candidate =>
    hasFields(candidate, {database: 'string', term: 'number'})
      ? (candidate as {database: string; term: number})
      : undefined,
  candidate =>
    hasFields(candidate, {term: 'number', number: 'number'})
      ? (candidate as LogPosition)
      : undefined,
);

function isWorkRequest(candidate: unknown): candidate is WorkRequest {
  const outer = hasFields(candidate, {
    database: 'string',
    member: 'string',
    primaryTerm: 'number',
    priority: 'number',
    waitMilliseconds: 'number',
    objectiveMilliseconds: 'number',
    first: 'object',
  });
  if (!outer) return false;
  return hasFields((candidate as WorkRequest).first, {
    requestId: 'string',
    text: 'object',
    opens: 'string',
    values: 'object',
    timeoutMilliseconds: 'number',
  });
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
