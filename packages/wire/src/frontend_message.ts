import {Either, Left, Right} from 'purify-ts';
import {serialize} from 'pg-protocol';
import {Frame, FRAME_HEADER_BYTES} from './frame.js';

/** Parse: makes a prepared statement. */
export interface ParseMessage {
  readonly statement: string;
  readonly query: string;
  /** The message after the statement's name: query and parameter types. */
  readonly rest: Buffer;
}

/** Bind: makes a portal of a prepared statement and its values. */
export interface BindMessage {
  readonly portal: string;
  readonly statement: string;
  /** The message after both names. */
  readonly rest: Buffer;
}

/** Describe or Close: names a prepared statement or a portal. */
export interface TargetMessage {
  readonly target: 'statement' | 'portal';
  readonly name: string;
}

/** A message whose contents cannot be read. */
export interface MessageError {
  readonly kind: 'malformedMessage';
  readonly type: number;
}

/** Reads the text of Query. */
export function readQuery(frame: Frame): Either<MessageError, string> {
  return textAt(frame, FRAME_HEADER_BYTES).map(found => found.text);
}

/** Reads Parse. */
export function readParse(frame: Frame): Either<MessageError, ParseMessage> {
  return textAt(frame, FRAME_HEADER_BYTES).chain(statement =>
    textAt(frame, statement.end).map(query => ({
      statement: statement.text,
      query: query.text,
      rest: frame.bytes.subarray(statement.end),
    })),
  );
}

/** Reads Bind, as far as its names. */
export function readBind(frame: Frame): Either<MessageError, BindMessage> {
  return textAt(frame, FRAME_HEADER_BYTES).chain(portal =>
    textAt(frame, portal.end).map(statement => ({
      portal: portal.text,
      statement: statement.text,
      rest: frame.bytes.subarray(statement.end),
    })),
  );
}

/** Reads Describe or Close. */
export function readTarget(frame: Frame): Either<MessageError, TargetMessage> {
  const kind = frame.bytes[FRAME_HEADER_BYTES];
  if (kind !== 0x53 && kind !== 0x50) return malformed(frame);
  const target = kind === 0x53 ? 'statement' : 'portal';
  return textAt(frame, FRAME_HEADER_BYTES + 1).map(found => ({
    target,
    name: found.text,
  }));
}

/** Writes Query. */
export function queryMessage(query: string): Buffer {
  return serialize.query(query) as Buffer;
}

/** Writes Parse from its name and what {@link readParse} called `rest`. */
export function parseMessage(statement: string, rest: Buffer): Buffer {
  const name = Buffer.from(`${statement}\0`, 'utf8');
  const head = Buffer.alloc(FRAME_HEADER_BYTES);
  head.writeUInt8(0x50, 0);
  head.writeUInt32BE(4 + name.length + rest.length, 1);
  return Buffer.concat([head, name, rest]);
}

/** Writes Bind from its names and what {@link readBind} called `rest`. */
export function bindMessage(
  portal: string,
  statement: string,
  rest: Buffer,
): Buffer {
  const names = Buffer.from(`${portal}\0${statement}\0`, 'utf8');
  const head = Buffer.alloc(FRAME_HEADER_BYTES);
  head.writeUInt8(0x42, 0);
  head.writeUInt32BE(4 + names.length + rest.length, 1);
  return Buffer.concat([head, names, rest]);
}

/** Writes Describe for a prepared statement. */
export function describeStatementMessage(statement: string): Buffer {
  return serialize.describe({type: 'S', name: statement}) as Buffer;
}

/** Writes Sync. */
export function syncMessage(): Buffer {
  return serialize.sync() as Buffer;
}

interface FoundText {
  readonly text: string;
  /** Offset of the byte after the text's terminating zero. */
  readonly end: number;
}

function textAt(frame: Frame, start: number): Either<MessageError, FoundText> {
  const zero = frame.bytes.indexOf(0, start);
  if (zero < 0) return malformed(frame);
  const text = frame.bytes.toString('utf8', start, zero);
  return Right({text, end: zero + 1});
}

function malformed(frame: Frame): Either<MessageError, never> {
  return Left({kind: 'malformedMessage', type: frame.type});
}
