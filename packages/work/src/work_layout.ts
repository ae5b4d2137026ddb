import {ConversationLayout, MessageLayout} from '@apricotlock/peer';
import {AnswerEnd, LogPosition, StatementAnswer} from '@apricotlock/statement';
import {
  WorkClientMessage,
  WorkRequest,
  WorkServerMessage,
  WorkStatement,
  WorkText,
} from './work_messages.js';

/** The value that is sent for a missing position. */
const NO_POSITION = 0;
const RELEASE = 0;
const STARTS = ['none', 'readOnlyTransaction', 'transaction'] as const;
const STATES = ['idle', 'transaction', 'failed'] as const;

type PackedPosition = readonly [number, number] | typeof NO_POSITION;
type PackedText =
  | readonly [text: string]
  | readonly [access: string, shape: string, parameters: string];
type PackedStatement = readonly [
  requestId: string,
  text: PackedText,
  opens: number,
  floor: PackedPosition,
  values: WorkStatement['values'],
  timeoutMilliseconds: number,
  repeatable: boolean,
];
type PackedEnd =
  | readonly [signature: string]
  | readonly [kind: string, code: string, text: string];

/**
 * The layout of requests: several messages are sent for each statement of a
 * caller, most of them to another data centre, and the names of their fields
 * would be the largest part of them. Each array holds the fields in the order
 * of the type that it stands for; a value of another layout becomes a message
 * that its check refuses.
 */
const REQUEST_LAYOUT: MessageLayout<WorkRequest> = {
  pack: request => [
    request.database,
    request.member,
    request.primaryTerm,
    request.priority,
    request.waitMilliseconds,
    request.objectiveMilliseconds,
    packStatement(request.first),
    ...packOrganisation(request),
  ],
  unpack: packed => {
    const [
      database,
      member,
      primaryTerm,
      priority,
      waitMilliseconds,
      objectiveMilliseconds,
      first,
      ...organisation
    ] = fieldsOf(packed);
    return {
      database,
      member,
      primaryTerm,
      priority,
      waitMilliseconds,
      objectiveMilliseconds,
      first: unpackStatement(first),
      ...unpackOrganisation(organisation),
    };
  },
};

const CLIENT_LAYOUT: MessageLayout<WorkClientMessage> = {
  pack: message =>
    message.kind === 'release' ? RELEASE : packStatement(message),
  unpack: packed =>
    packed === RELEASE ? {kind: 'release'} : unpackStatement(packed),
};

const SERVER_LAYOUT: MessageLayout<WorkServerMessage> = {
  pack: message => {
    switch (message.kind) {
      case 'answer': {
        const {answer, expectedWaitMilliseconds} = message;
        return ['answer', expectedWaitMilliseconds, ...packAnswer(answer)];
      }
      case 'refused': {
        const {reason, retryAfterMilliseconds} = message.refusal;
        return ['refused', reason, retryAfterMilliseconds];
      }
      case 'lost': {
        const {mayHaveRun, timedOut, reason} = message;
        return ['lost', mayHaveRun, timedOut, reason];
      }
    }
  },
  unpack: packed => {
    const [kind, ...fields] = fieldsOf(packed);
    switch (kind) {
      case 'answer': {
        const [expectedWaitMilliseconds, ...answer] = fields;
        return {kind, expectedWaitMilliseconds, answer: unpackAnswer(answer)};
      }
      case 'refused': {
        const [reason, retryAfterMilliseconds] = fields;
        return {kind, refusal: {reason, retryAfterMilliseconds}};
      }
      case 'lost': {
        const [mayHaveRun, timedOut, reason] = fields;
        return {kind, mayHaveRun, timedOut, reason};
      }
      default:
        return undefined;
    }
  },
};

/** The layout of the messages about work on members. */
export const WORK_LAYOUT: ConversationLayout<
  WorkRequest,
  WorkClientMessage,
  WorkServerMessage
> = {
  opening: REQUEST_LAYOUT,
  clientMessage: CLIENT_LAYOUT,
  serverMessage: SERVER_LAYOUT,
};

function packOrganisation({
  organisation,
  organisationPriority,
}: WorkRequest): readonly unknown[] {
  return organisation === undefined ? [] : [organisation, organisationPriority];
}

function unpackOrganisation([
  organisation,
  organisationPriority,
]: readonly unknown[]): object {
  return organisation === undefined ? {} : {organisation, organisationPriority};
}

function packStatement(statement: WorkStatement): PackedStatement {
  return [
    statement.requestId,
    packText(statement.text),
    STARTS.indexOf(statement.opens),
    packPosition(statement.floor),
    statement.values,
    statement.timeoutMilliseconds,
    statement.repeatable,
  ];
}

function unpackStatement(packed: unknown): unknown {
  const [
    requestId,
    text,
    opens,
    floor,
    values,
    timeoutMilliseconds,
    repeatable,
  ] = fieldsOf(packed);
  return {
    kind: 'run',
    requestId,
    text: unpackText(text),
    opens: STARTS[opens as number],
    floor: unpackPosition(floor),
    values,
    timeoutMilliseconds,
    repeatable,
  };
}

function packText(text: WorkText): PackedText {
  return text.kind === 'plain'
    ? [text.text]
    : [text.access, text.shape, text.parameters];
}

function unpackText(packed: unknown): unknown {
  const [first, shape, parameters] = fieldsOf(packed);
  return shape === undefined
    ? {kind: 'plain', text: first}
    : {kind: 'prepared', access: first, shape, parameters};
}

function packAnswer(answer: StatementAnswer): readonly unknown[] {
  return [
    answer.rows,
    packEnd(answer.end),
    STATES.indexOf(answer.state),
    packPosition(answer.position),
  ];
}

function unpackAnswer(packed: readonly unknown[]): unknown {
  const [rows, end, state, position] = packed;
  return {
    rows,
    end: unpackEnd(end),
    state: STATES[state as number],
    position: unpackPosition(position),
  };
}

function packEnd(end: AnswerEnd): PackedEnd {
  if (end.kind === 'complete') return [end.signature];
  const {kind, code, text} = end.error;
  return [kind, code, text];
}

function unpackEnd(packed: unknown): unknown {
  const [first, code, text] = fieldsOf(packed);
  if (first === undefined) return undefined;
  return code === undefined
    ? {kind: 'complete', signature: first}
    : {kind: 'error', error: {kind: first, code, text}};
}

function packPosition(position: LogPosition | undefined): PackedPosition {
  return position === undefined
    ? NO_POSITION
    : [position.term, position.number];
}

function unpackPosition(packed: unknown): unknown {
  if (!Array.isArray(packed)) return undefined;
  const [term, number] = packed as readonly unknown[];
  return {term, number};
}

/** Returns the fields of an array, and none of any other value. */
function fieldsOf(packed: unknown): readonly unknown[] {
  return Array.isArray(packed) ? (packed as readonly unknown[]) : [];
}
