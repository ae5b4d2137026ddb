import {Either, Left, Right} from 'purify-ts';
import {serialize} from 'pg-protocol';
import {
  BackendAuthentication,
  BackendAuthenticationError,
} from './backend_authentication.js';
import {DatabaseErrorFields, readErrorResponse} from './backend_message.js';
import {
  BackendAddress,
  BackendSocketError,
  connectToBackend,
} from './backend_socket.js';
import {ByteStream} from './byte_stream.js';
import {FrameSplitter} from './frame.js';
import {BackendType} from './message_type.js';

const MAXIMUM_WAITING_BYTES = 1 << 20;

/** To whom a connection is opened, and as whom. */
export interface BackendStartUp extends BackendAddress {
  readonly user: string;
  readonly password: string | undefined;
  readonly database: string;
  readonly applicationName: string;
  readonly maximumMessageBytes: number;
  /** Settings of the server for this connection, by name. */
  readonly settings?: Readonly<Record<string, string>>;
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
  | BackendSocketError
  | BackendAuthenticationError
  | {readonly kind: 'refused'; readonly error: DatabaseErrorFields}
  | {readonly kind: 'protocolViolation'};

/** Opens a connection and waits until the server takes statements. */
export async function openBackendConnection(
  options: BackendStartUp,
): Promise<Either<BackendConnectionError, OpenedBackend>> {
  const connected = await connectToBackend(options);
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

async function finishStartUp(
  stream: ByteStream,
  options: BackendStartUp,
): Promise<Either<BackendConnectionError, OpenedBackend>> {
  const splitter = FrameSplitter.create(options.maximumMessageBytes, 'regular');
  const encrypted = options.tls !== undefined;
  const proof = BackendAuthentication.begin(options.password, encrypted);
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
        const answer = await proof.answer(frame);
        if (answer.isLeft()) {
          return answer as Either<BackendConnectionError, never>;
        }
        answer.ifRight(bytes => bytes && stream.write(bytes));
      }
      if (frame.type === BackendType.READY_FOR_QUERY) {
        return Right({stream, splitter, processId, secret});
      }
    }
  }
}
