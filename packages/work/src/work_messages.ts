import {hasFields, PeerCall, PeerConversation} from '@apricotlock/peer';
import {Access, LogPosition, StatementAnswer} from '@apricotlock/statement';
import {WORK_LAYOUT} from './work_layout.js';

/** The part of a caller's statement that a member runs. */
export type WorkText =
  | {readonly kind: 'plain'; readonly text: string}
  | {
      readonly kind: 'prepared';
      readonly access: Access;
      readonly shape: string;
      readonly parameters: string;
    };

/** The kind of transaction that is opened before a statement. */
export type TransactionStart = 'none' | 'readOnlyTransaction' | 'transaction';

/** A statement of a caller that is run on a member. */
export interface WorkStatement {
  readonly kind: 'run';
  readonly requestId: string;
  readonly text: WorkText;
  readonly opens: TransactionStart;
  /** The minimum log position that the member must have reached. */
  readonly floor: LogPosition | undefined;
  /** The values of the session; the connection must have exactly these. */
  readonly values: ReadonlyArray<readonly [name: string, value: string]>;
  /** The time limit of the statement, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Whether it may safely run twice: a read outside a transaction. */
  readonly repeatable: boolean;
}

/** A request to run a statement, or a transaction that starts with it. */
export interface WorkRequest {
  readonly database: string;
  readonly member: string;
  /** The term in which the member must be the primary; 0 for any role. */
  readonly primaryTerm: number;
  /** 0 is the highest priority; larger numbers are lower priorities. */
  readonly priority: number;
  /** The longest wait for a connection and a slot, in milliseconds. */
  readonly waitMilliseconds: number;
  /** The time until the answer is late, in milliseconds; 0 if it is already. */
  readonly objectiveMilliseconds: number;
  /** The organisation for whose caller the work is done, if there is one. */
  readonly organisation?: string | undefined;
  /** The priority of that organisation; 0 is the highest. */
  readonly organisationPriority?: number | undefined;
  readonly first: WorkStatement;
}

/** The reasons for which work is refused; nothing was run. */
export type WorkRefusalReason =
  /** The work would wait longer than it may, or has done so. */
  | 'overloaded'
  /** This VM does not hold the primary lease of the requested term. */
  | 'notHolder'
  /** The member is not reachable from this VM. */
  | 'unreachable'
  /** The member is draining, and gets no new work as a replica. */
  | 'draining'
  /** No replica confirms the commits of the primary, which limits writes. */
  | 'commitsStall'
  /** The member is removed or unknown to this VM. */
  | 'unknownMember'
  /** This VM is about to end, so that other VMs have to do the work. */
  | 'stopping';

/** A refusal, with the time after which to retry. */
export interface WorkRefusal {
  readonly reason: WorkRefusalReason;
  readonly retryAfterMilliseconds: number;
}

/** A message from the session: another statement, or the end of the work. */
export type WorkClientMessage = WorkStatement | {readonly kind: 'release'};

/** A message from the VM that runs the work on the member. */
export type WorkServerMessage =
  | {readonly kind: 'refused'; readonly refusal: WorkRefusal}
  | {
      readonly kind: 'answer';
      readonly answer: StatementAnswer;
      /** The expected wait of new work for the member, in milliseconds. */
      readonly expectedWaitMilliseconds: number;
    }
  /** The member connection was lost; an open transaction is rolled back. */
  | {
      readonly kind: 'lost';
      /** Whether the member may have run the statement. */
      readonly mayHaveRun: boolean;
      readonly timedOut: boolean;
      readonly reason: string;
    };

/** Runs a statement or transaction on a member through another VM. */
export const RUN_WORK = PeerConversation.define<
  WorkRequest,
  WorkClientMessage,
  WorkServerMessage
>(
  'work.run',
  candidate => (isWorkRequest(candidate) ? candidate : undefined),
  candidate => (isClientMessage(candidate) ? candidate : undefined),
  candidate => (isServerMessage(candidate) ? candidate : undefined),
  WORK_LAYOUT,
);

/** Checks whether a VM answers. */
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

/**
 * Requests the current log position of a primary from its lease holder. A VM
 * that does not hold the lease of the term, or does not know the position yet,
 * refuses the call.
 */
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
  const {organisation, organisationPriority, ...request} =
    candidate as WorkRequest;
  if (!['undefined', 'string'].includes(typeof organisation)) return false;
  // A priority below 0 would have no cost, or a negative one, in fair queueing.
  if (organisationPriority !== undefined && !isAmount(organisationPriority)) {
    return false;
  }
  return (
    isAmount(request.priority) &&
    isAmount(request.waitMilliseconds) &&
    Number.isFinite(request.objectiveMilliseconds) &&
    isStatement(request.first)
  );
}

function isClientMessage(candidate: unknown): candidate is WorkClientMessage {
  if (!hasFields(candidate, {kind: 'string'})) return false;
  const {kind} = candidate as WorkClientMessage;
  return kind === 'run' ? isStatement(candidate) : true;
}

/** An exception on what a message lacks would end the caller's session. */
function isServerMessage(candidate: unknown): candidate is WorkServerMessage {
  const {kind} = (candidate ?? {}) as Partial<WorkServerMessage>;
  switch (kind) {
    case 'answer':
      return isAnswerMessage(candidate);
    case 'refused': {
      const fields = {reason: 'string', retryAfterMilliseconds: 'number'};
      return hasFields((candidate as {refusal?: unknown}).refusal, fields);
    }
    case 'lost':
      return hasFields(candidate, {mayHaveRun: 'boolean', reason: 'string'});
    default:
      return false;
  }
}

function isAnswerMessage(candidate: unknown): boolean {
  if (!hasFields(candidate, {expectedWaitMilliseconds: 'number'})) return false;
  const {answer} = candidate as {answer: unknown};
  if (!hasFields(answer, {state: 'string'})) return false;
  const {rows, end} = answer as StatementAnswer;
  if (!Array.isArray(rows) || !hasFields(end, {kind: 'string'})) return false;
  return end.kind !== 'error' || hasFields(end.error, {kind: 'string'});
}

/**
 * Returns whether a value has all that running a statement reads: an exception
 * would leave its slot and its connection in use for good.
 */
function isStatement(candidate: unknown): candidate is WorkStatement {
  const outer = hasFields(candidate, {
    requestId: 'string',
    text: 'object',
    opens: 'string',
    values: 'object',
    timeoutMilliseconds: 'number',
  });
  if (!outer) return false;
  const {text, values, timeoutMilliseconds} = candidate as WorkStatement;
  const isText =
    hasFields(text, {kind: 'string', text: 'string'}) ||
    hasFields(text, {access: 'string', shape: 'string', parameters: 'string'});
  return (
    isText &&
    Number.isFinite(timeoutMilliseconds) &&
    Array.isArray(values) &&
    values.every(isValue)
  );
}

function isValue(candidate: unknown): boolean {
  return (
    Array.isArray(candidate) &&
    typeof candidate[0] === 'string' &&
    typeof candidate[1] === 'string'
  );
}

function isAmount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}
