import {Either, Left, Right} from 'purify-ts';
import {serialize} from 'pg-protocol';
import {Frame, FRAME_HEADER_BYTES} from './frame.js';

/** Parse, which creates a prepared statement. */
export interface ParseMessage {
  readonly statement: string;
  readonly query: string;
  /** The bytes after the statement's name: query and parameter types. */
  readonly rest: Buffer;
}

/** Bind, which creates a portal from a prepared statement and values. */
export interface BindMessage {
  readonly portal: string;
  readonly statement: string;
  /** The bytes after both names: formats and values. */
  readonly rest: Buffer;
}

/** The prepared statement or portal that Describe or Close names. */
export interface TargetMessage {
  readonly target: 'statement' | 'portal';
  readonly name: string;
}

/** A message whose content is malformed. */
export interface MessageError {
  readonly kind: 'malformedMessage';
  /** The type byte of the message. */
  readonly type: number;
}

/** Reads the SQL text of Query. */
export function readQuery(frame: Frame): Either<MessageError, string> {
  return readText(frame, FRAME_HEADER_BYTES).map(field => field.text);
}

/** Reads Parse. */
export function readParse(frame: Frame): Either<MessageError, ParseMessage> {
  return readText(frame, FRAME_HEADER_BYTES).chain(statement =>
    readText(frame, statement.end).map(query => ({
      statement: statement.text,
      query: query.text,
      rest: frame.bytes.subarray(statement.end),
    })),
  );
}

/** Reads the names in Bind; its formats and values are not decoded. */
export function readBind(frame: Frame): Either<MessageError, BindMessage> {
  return readText(frame, FRAME_HEADER_BYTES).chain(portal =>
    readText(frame, portal.end).map(statement => ({
      portal: portal.text,
      statement: statement.text,
      rest: frame.bytes.subarray(statement.end),
    })),
  );
}

/** Reads Describe or Close. */
export function readTarget(frame: Frame): Either<MessageError, TargetMessage> {
  const kind = frame.bytes[FRAME_HEADER_BYTES];
  if (kind !== 0x53 && kind !== 0x50) return malformedMessage(frame);
  const target = kind === 0x53 ? 'statement' : 'portal';
  return readText(frame, FRAME_HEADER_BYTES + 1).map(field => ({
    target,
    name: field.text,
  }));
}

/** Encodes Query. */
export function queryMessage(query: string): Buffer {
  return serialize.query(query) as Buffer;
}

/**
 * Encodes Parse from the statement's name and {@link ParseMessage.rest} of
 * another Parse.
 */
export function parseMessage(statement: string, rest: Buffer): Buffer {
  const name = Buffer.from(`${statement}\0`, 'utf8');
  const header = Buffer.alloc(FRAME_HEADER_BYTES);
  header.writeUInt8(0x50, 0);
  header.writeUInt32BE(4 + name.length + rest.length, 1);
  return Buffer.concat([header, name, rest]);
}

/**
 * Encodes Bind from the portal's and statement's names and
 * {@link BindMessage.rest} of another Bind.
 */
export function bindMessage(
  portal: string,
  statement: string,
  rest: Buffer,
): Buffer {
  const names = Buffer.from(`${portal}\0${statement}\0`, 'utf8');
  const header = Buffer.alloc(FRAME_HEADER_BYTES);
  header.writeUInt8(0x42, 0);
  header.writeUInt32BE(4 + names.length + rest.length, 1);
  return Buffer.concat([header, names, rest]);
}

/** Encodes Describe for a prepared statement. */
export function describeStatementMessage(statement: string): Buffer {
  return serialize.describe({type: 'S', name: statement}) as Buffer;
}

/** Encodes Sync. */
export function syncMessage(): Buffer {
  return serialize.sync() as Buffer;
}

interface TextField {
  readonly text: string;
  /** Offset of the byte after the text's terminating zero byte. */
  readonly end: number;
}

function readText(
  frame: Frame,
  start: number,
): Either<MessageError, TextField> {
  const terminator = frame.bytes.indexOf(0, start);
  if (terminator < 0) return malformedMessage(frame);
  const text = frame.bytes.toString('utf8', start, terminator);
  return Right({text, end: terminator + 1});
}

function malformedMessage(frame: Frame): Either<MessageError, never> {
  return Left({kind: 'malformedMessage', type: frame.type});
}
