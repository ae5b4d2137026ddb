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

const MAXIMUM_BUFFERED_BYTES = 1 << 20;

/** Options for {@link openBackendConnection}. */
export interface BackendConnectionOptions extends BackendAddress {
  readonly user: string;
  /** Without it, servers that request a password are rejected. */
  readonly password: string | undefined;
  readonly database: string;
  readonly applicationName: string;
  /** Longest message accepted from the server, in bytes. */
  readonly maximumMessageBytes: number;
  /** Server settings for this connection, by name. */
  readonly settings?: Readonly<Record<string, string>>;
}

/** A connection to a backend server that is ready for its first statement. */
export interface OpenedBackend {
  readonly stream: ByteStream;
  readonly splitter: FrameSplitter;
  /** Process id from BackendKeyData, needed for a cancel request. */
  readonly processId: number;
  /** Secret from BackendKeyData, needed for a cancel request. */
  readonly secret: number;
}

/** Why a connection could not be opened. No statement has been run. */
export type BackendConnectionError =
  | BackendSocketError
  | BackendAuthenticationError
  /** The server answered with ErrorResponse. */
  | {readonly kind: 'refused'; readonly error: DatabaseErrorFields}
  /** The server sent a message with an invalid or excessive length. */
  | {readonly kind: 'protocolViolation'};

/**
 * Opens and authenticates a connection. Resolves once the server is ready for
 * statements; on an error the socket has been closed.
 */
export async function openBackendConnection(
  options: BackendConnectionOptions,
): Promise<Either<BackendConnectionError, OpenedBackend>> {
  const connected = await connectToBackend(options);
  if (connected.isLeft()) {
    return connected as Either<BackendConnectionError, never>;
  }
  const socket = connected.unsafeCoerce();
  const stream = ByteStream.of(socket, MAXIMUM_BUFFERED_BYTES);
  stream.write(encodeStartUpMessage(options));
  const opened = await finishStartUp(stream, options);
  if (opened.isLeft()) socket.destroy();
  return opened;
}

function encodeStartUpMessage(options: BackendConnectionOptions): Buffer {
  return serialize.startup({
    ...options.settings,
    user: options.user,
    database: options.database,
    application_name: options.applicationName,
  }) as Buffer;
}

async function finishStartUp(
  stream: ByteStream,
  options: BackendConnectionOptions,
): Promise<Either<BackendConnectionError, OpenedBackend>> {
  const splitter = FrameSplitter.create(options.maximumMessageBytes, 'regular');
  const encrypted = options.tls !== undefined;
  const authentication = BackendAuthentication.begin(
    options.password,
    encrypted,
  );
  let processId = 0;
  let secret = 0;
  for (;;) {
    const chunk = await stream.read();
    if (chunk === undefined) {
      return Left({
        kind: 'unreachable',
        reason: 'connection closed during start-up',
      });
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
        const response = await authentication.answer(frame);
        if (response.isLeft()) {
          return response as Either<BackendConnectionError, never>;
        }
        response.ifRight(bytes => bytes && stream.write(bytes));
      }
      if (frame.type === BackendType.READY_FOR_QUERY) {
        return Right({stream, splitter, processId, secret});
      }
    }
  }
}
