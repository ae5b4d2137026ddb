import {connect, Socket} from 'node:net';
import {Either, Left, Right} from 'purify-ts';
import {serialize} from 'pg-protocol';
import {AsyncQueue} from '@apricotlock/flow';
import {DatabaseErrorFields, readErrorResponse} from './backend_message.js';
import {ByteStream} from './byte_stream.js';
import {Frame, FrameSplitter} from './frame.js';
import {BackendType} from './message_type.js';

const MAXIMUM_WAITING_BYTES = 1 << 20;
const AUTHENTICATION_OK = 0;
const AUTHENTICATION_CLEAR_TEXT = 3;

/** To whom a connection is opened, and as whom. */
export interface BackendStartUp {
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly password: string | undefined;
  readonly database: string;
  readonly applicationName: string;
  readonly maximumMessageBytes: number;
  /** Settings of the server for this connection, by name. */
  readonly settings?: Readonly<Record<string, string>>;
  /** Gives the attempt up, and closes its socket, once aborted. */
  readonly abort?: AbortSignal;
}

/** A connection to a backend server that is ready for a statement. */
export interface OpenedBackend {
  readonly stream: ByteStream;
  readonly splitter: FrameSplitter;
  readonly processId: number;
  readonly secret: number;
}

/** Why no connection could be opened; nothing was run. */
export type BackendConnectionError =
  | {readonly kind: 'unreachable'; readonly reason: string}
  | {readonly kind: 'refused'; readonly error: DatabaseErrorFields}
  | {readonly kind: 'protocolViolation'}
  | {readonly kind: 'unsupportedAuthentication'; readonly method: number};

/** Opens a connection and waits until the server takes statements. */
export async function openBackendConnection(
  options: BackendStartUp,
): Promise<Either<BackendConnectionError, OpenedBackend>> {
  const connected = await connectSocket(options);
  if (connected.isLeft()) {
    return connected as Either<BackendConnectionError, never>;
  }
  const socket = connected.unsafeCoerce();
  const stream = ByteStream.of(socket, MAXIMUM_WAITING_BYTES);
  stream.write(startUpBytes(options));
  const opened = await finishStartUp(stream, options);
  if (opened.isLeft()) socket.destroy();
  return opened;
}

function startUpBytes(options: BackendStartUp): Buffer {
  return serialize.startup({
    ...options.settings,
    user: options.user,
    database: options.database,
    application_name: options.applicationName,
  }) as Buffer;
}

async function connectSocket({
  host,
  port,
  abort,
}: BackendStartUp): Promise<Either<BackendConnectionError, Socket>> {
  const outcome = AsyncQueue.create<Either<BackendConnectionError, Socket>>();
  const socket = connect({host, port, noDelay: true});
  socket.once('connect', () => outcome.push(Right(socket)));
  socket.on('error', (error: NodeJS.ErrnoException) => {
    outcome.push(Left({kind: 'unreachable', reason: error.code ?? 'error'}));
  });
  const giveUp = () => socket.destroy(new Error('given up'));
  abort?.addEventListener('abort', giveUp, {once: true});
  return (await outcome.take()) as Either<BackendConnectionError, Socket>;
}

async function finishStartUp(
  stream: ByteStream,
  options: BackendStartUp,
): Promise<Either<BackendConnectionError, OpenedBackend>> {
  const splitter = FrameSplitter.create(options.maximumMessageBytes, 'regular');
  let processId = 0;
  let secret = 0;
  for (;;) {
    const chunk = await stream.read();
    if (chunk === undefined) {
      return Left({kind: 'unreachable', reason: 'closed during start-up'});
    }
    splitter.push(chunk);
    const frames = splitter.drain();
    if (frames.isLeft()) return Left({kind: 'protocolViolation'});
    for (const frame of frames.orDefault([])) {
      if (frame.type === BackendType.ERROR_RESPONSE) {
        return Left({kind: 'refused', error: readErrorResponse(frame)});
      }
      if (frame.type === BackendType.BACKEND_KEY_DATA) {
        processId = frame.bytes.readInt32BE(5);
        secret = frame.bytes.readInt32BE(9);
      }
      if (frame.type === BackendType.AUTHENTICATION) {
        const answered = answerAuthentication(stream, frame, options);
        if (answered.isLeft()) {
          return answered as Either<BackendConnectionError, never>;
        }
      }
      if (frame.type === BackendType.READY_FOR_QUERY) {
        return Right({stream, splitter, processId, secret});
      }
    }
  }
}

function answerAuthentication(
  stream: ByteStream,
  frame: Frame,
  options: BackendStartUp,
): Either<BackendConnectionError, void> {
  const method = frame.bytes.readInt32BE(5);
  if (method === AUTHENTICATION_OK) return Right(undefined);
  if (method === AUTHENTICATION_CLEAR_TEXT && options.password !== undefined) {
    stream.write(serialize.password(options.password) as Buffer);
    return Right(undefined);
  }
  return Left({kind: 'unsupportedAuthentication', method});
}
