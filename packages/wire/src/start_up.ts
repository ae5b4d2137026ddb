import {Socket} from 'node:net';
import {SecureContext, TLSSocket} from 'node:tls';
import {Either, Left, Right} from 'purify-ts';
import {PostgresConnection} from 'pg-gateway';
import {
  backendKeyData,
  errorResponse,
  parameterStatus,
} from './backend_message.js';
import {ByteStream} from './byte_stream.js';
import {Frame, FrameSplitter} from './frame.js';
import {BackendType} from './message_type.js';
import {ScramVerifier} from './scram_verifier.js';
import {SqlState} from './sql_state.js';

const CANCEL_REQUEST_CODE = 80877102;
const TLS_REQUEST_CODE = 80877103;
const GSS_ENCRYPTION_REQUEST_CODE = 80877104;
const MAXIMUM_START_UP_BYTES = 10_000;
const MAXIMUM_BUFFERED_BYTES = 1 << 20;

/** Parameters of a start-up message, by name. */
export type StartUpParameters = Readonly<Record<string, string>> & {
  readonly user: string;
};

/** How a caller must authenticate. */
export type CallerAuthentication =
  | {readonly method: 'trust'}
  | {readonly method: 'scram'; readonly verifier: ScramVerifier};

/** A request to cancel the running statement of another connection. */
export interface CancelRequest {
  readonly processId: number;
  readonly secret: number;
}

/** Options for {@link acceptCaller}. */
export interface AcceptOptions {
  /** Longest message that a caller may send after start-up, in bytes. */
  readonly maximumMessageBytes: number;
  readonly serverVersion: string;
  /** Without it, requests for TLS are declined. */
  readonly secureContext: SecureContext | undefined;
  /** Process id sent in BackendKeyData, which identifies a cancel request. */
  readonly processId: number;
  /** Secret sent in BackendKeyData, which authenticates a cancel request. */
  readonly secret: number;
  /** Returns how a user must authenticate, or why it may not connect. */
  readonly authenticate: (
    parameters: StartUpParameters,
  ) => Either<AcceptError, CallerAuthentication>;
  /** Returns an error if an authenticated user may not open a session. */
  readonly authorize?: (
    parameters: StartUpParameters,
  ) => Either<AcceptError, unknown>;
}

/** An authenticated caller that may now send statements. */
export interface AcceptedCaller {
  readonly stream: ByteStream;
  readonly splitter: FrameSplitter;
  readonly parameters: StartUpParameters;
}

/** Why a connection was not accepted. */
export type AcceptError =
  /** The peer closed the connection during start-up. */
  | {readonly kind: 'closed'}
  | {readonly kind: 'malformedStartUp'}
  /** The connection carried a cancel request, which needs no session. */
  | {readonly kind: 'cancelRequest'; readonly request: CancelRequest}
  | {readonly kind: 'authenticationFailed'}
  | {readonly kind: 'unknownDatabase'; readonly database: string}
  | {readonly kind: 'unknownUser'; readonly user: string}
  | {readonly kind: 'unsupportedSetting'; readonly name: string}
  | {readonly kind: 'tooManySessions'}
  | {readonly kind: 'draining'};

/**
 * Negotiates TLS on a new connection, reads the start-up message and
 * authenticates the caller. A caller that is refused has been sent an
 * ErrorResponse; after any error the connection must be closed.
 */
export async function acceptCaller(
  socket: Socket,
  options: AcceptOptions,
): Promise<Either<AcceptError, AcceptedCaller>> {
  const opened = await readStartUp(socket, options);
  if (opened.isLeft()) return opened as Either<AcceptError, never>;
  const caller = opened.unsafeCoerce();
  const authentication = options.authenticate(caller.parameters);
  if (authentication.isLeft()) {
    return refuse(caller.stream, authentication.extract() as AcceptError);
  }
  caller.splitter.setFormat('regular');
  const authenticated = await authenticate(
    caller,
    authentication.unsafeCoerce(),
    options,
  );
  return authenticated.map(() => caller);
}

interface UnauthenticatedCaller extends AcceptedCaller {
  readonly startUpFrame: Frame;
}

async function readStartUp(
  socket: Socket,
  options: AcceptOptions,
): Promise<Either<AcceptError, UnauthenticatedCaller>> {
  let stream = ByteStream.of(socket, MAXIMUM_BUFFERED_BYTES);
  let splitter = FrameSplitter.create(MAXIMUM_START_UP_BYTES, 'startUp');
  for (;;) {
    const frame = await readFrame(stream, splitter);
    if (frame === undefined) return Left({kind: 'closed'});
    if (frame === 'malformed' || frame.bytes.length < 8) {
      return refuse(stream, {kind: 'malformedStartUp'});
    }
    const code = frame.bytes.readUInt32BE(4);
    if (code === CANCEL_REQUEST_CODE) return parseCancelRequest(frame);
    if (code === GSS_ENCRYPTION_REQUEST_CODE) {
      stream.write(Buffer.from('N'));
      continue;
    }
    if (code === TLS_REQUEST_CODE) {
      if (options.secureContext === undefined) {
        stream.write(Buffer.from('N'));
        continue;
      }
      stream = upgradeToTls(stream, options.secureContext);
      splitter = FrameSplitter.create(MAXIMUM_START_UP_BYTES, 'startUp');
      continue;
    }
    return parseStartUpMessage(stream, splitter, frame, options);
  }
}

function parseStartUpMessage(
  stream: ByteStream,
  splitter: FrameSplitter,
  startUpFrame: Frame,
  options: AcceptOptions,
): Either<AcceptError, UnauthenticatedCaller> {
  const parameters = parseParameters(startUpFrame);
  if (parameters === undefined) {
    return refuse(stream, {kind: 'malformedStartUp'});
  }
  const regular = splitter.withMaximumBytes(options.maximumMessageBytes);
  return Right({stream, splitter: regular, parameters, startUpFrame});
}

function parseParameters(frame: Frame): StartUpParameters | undefined {
  const text = frame.bytes.toString('utf8', 8);
  const parts = text.split('\0');
  const values: Record<string, string> = {};
  for (let index = 0; index + 1 < parts.length; index += 2) {
    const name = parts[index] as string;
    if (name === '') break;
    values[name] = parts[index + 1] as string;
  }
  const user = values['user'];
  return user === undefined ? undefined : {...values, user};
}

function parseCancelRequest(frame: Frame): Either<AcceptError, never> {
  if (frame.bytes.length < 16) return Left({kind: 'malformedStartUp'});
  const processId = frame.bytes.readInt32BE(8);
  const secret = frame.bytes.readInt32BE(12);
  return Left({kind: 'cancelRequest', request: {processId, secret}});
}

/**
 * Starts TLS on a connection and returns the stream inside it. Bytes received
 * together with the TLS request, which an attacker could have injected, are
 * dropped with the old stream, so that they are not processed as part of the
 * encrypted one (CVE-2021-23214).
 */
function upgradeToTls(
  stream: ByteStream,
  secureContext: SecureContext,
): ByteStream {
  stream.socket.removeAllListeners('data');
  stream.write(Buffer.from('S'));
  const tlsSocket = new TLSSocket(stream.socket, {
    isServer: true,
    secureContext,
  });
  return ByteStream.of(tlsSocket, MAXIMUM_BUFFERED_BYTES);
}

/**
 * Authenticates a caller with the pg-gateway library, which handles the
 * start-up message and SCRAM. Messages are passed between caller and library
 * through a pair of streams.
 */
async function authenticate(
  caller: UnauthenticatedCaller,
  authentication: CallerAuthentication,
  options: AcceptOptions,
): Promise<Either<AcceptError, unknown>> {
  // The library's own duplex pair polls with timers that never stop.
  const toGateway = new TransformStream<Uint8Array, Uint8Array>();
  const fromGateway = new TransformStream<Uint8Array, Uint8Array>();
  const gateway = new PostgresConnection(
    {readable: toGateway.readable, writable: fromGateway.writable},
    {
      serverVersion: options.serverVersion,
      auth: gatewayAuthOptions(authentication),
    },
  );
  const writer = toGateway.writable.getWriter();
  const reader = fromGateway.readable.getReader();
  const outcome = relayGatewayMessages(reader, caller, options);
  void writer.write(caller.startUpFrame.bytes).catch(() => undefined);
  const callerRelay = relayCallerMessages(caller, writer, gateway);
  const authenticated = await outcome;
  // The library logs every stream error whose code is not ABORT_ERR.
  const abortError = Object.assign(new Error('start-up finished'), {
    code: 'ABORT_ERR',
  });
  void writer.abort(abortError).catch(() => undefined);
  void callerRelay;
  return authenticated;
}

/**
 * Passes the caller's authentication messages to the library: none with method
 * `trust`, and the two client messages of SCRAM otherwise.
 */
async function relayCallerMessages(
  caller: UnauthenticatedCaller,
  writer: WritableStreamDefaultWriter<Uint8Array>,
  gateway: PostgresConnection,
): Promise<void> {
  const isTrusted = gateway.options.auth.method === 'trust';
  const messageCount = isTrusted ? 0 : 2;
  for (let count = 0; count < messageCount; count++) {
    const frame = await readFrame(caller.stream, caller.splitter);
    if (frame === undefined || frame === 'malformed') {
      await writer.close().catch(() => undefined);
      return;
    }
    await writer.write(frame.bytes).catch(() => undefined);
  }
}

/**
 * Passes the library's messages to the caller until the library has accepted
 * the caller with ReadyForQuery, or has refused it.
 */
async function relayGatewayMessages(
  reader: ReadableStreamDefaultReader<Uint8Array>,
  {stream, parameters}: UnauthenticatedCaller,
  options: AcceptOptions,
): Promise<Either<AcceptError, unknown>> {
  const splitter = FrameSplitter.create(MAXIMUM_START_UP_BYTES, 'regular');
  for (;;) {
    const {value, done} = await reader.read().catch(() => END_OF_STREAM);
    if (done || value === undefined) {
      return Left({kind: 'authenticationFailed'});
    }
    splitter.push(Buffer.from(value));
    for (const frame of splitter.drain().orDefault([])) {
      if (frame.type === BackendType.READY_FOR_QUERY) {
        const authorized = options.authorize?.(parameters) ?? Right(undefined);
        if (authorized.isLeft()) {
          return refuse(stream, authorized.extract() as AcceptError);
        }
        sendSessionParameters(stream, frame, options);
        return authorized;
      }
      if (frame.type === BackendType.ERROR_RESPONSE) {
        // For a wrong password the library sends 28000, the code for an
        // unknown user, so its message is replaced.
        return refuse(stream, {kind: 'authenticationFailed'});
      }
      stream.write(frame.bytes);
    }
  }
}

const END_OF_STREAM = {value: undefined, done: true} as const;

/**
 * Completes start-up: sends the session parameters, BackendKeyData and
 * ReadyForQuery.
 */
function sendSessionParameters(
  stream: ByteStream,
  readyFrame: Frame,
  options: AcceptOptions,
): void {
  stream.write(
    Buffer.concat([
      parameterStatus('client_encoding', 'UTF8'),
      parameterStatus('server_encoding', 'UTF8'),
      parameterStatus('standard_conforming_strings', 'on'),
      parameterStatus('DateStyle', 'ISO, MDY'),
      parameterStatus('integer_datetimes', 'on'),
      backendKeyData(options.processId, options.secret),
      readyFrame.bytes,
    ]),
  );
}

function gatewayAuthOptions(authentication: CallerAuthentication) {
  if (authentication.method === 'trust') return {method: 'trust'} as const;
  const {verifier} = authentication;
  return {
    method: 'scram-sha-256',
    getScramSha256Data: () => verifier,
  } as const;
}

/** Returns the next message, or `undefined` if the connection has closed. */
async function readFrame(
  stream: ByteStream,
  splitter: FrameSplitter,
): Promise<Frame | 'malformed' | undefined> {
  for (;;) {
    const result = splitter.takeFrame();
    if (result.isLeft()) return 'malformed';
    const frame = result.extract() as Frame | undefined;
    if (frame !== undefined) return frame;
    const chunk = await stream.read();
    if (chunk === undefined) return undefined;
    splitter.push(chunk);
  }
}

/** Sends the caller an ErrorResponse, and returns the error. */
function refuse(
  stream: ByteStream,
  error: AcceptError,
): Either<AcceptError, never> {
  stream.write(errorResponse(errorFieldsFor(error)));
  return Left(error);
}

function errorFieldsFor(error: AcceptError) {
  const severity = 'FATAL' as const;
  switch (error.kind) {
    case 'unknownDatabase':
      return {
        severity,
        code: SqlState.INVALID_CATALOG_NAME,
        message: `database "${error.database}" does not exist`,
      };
    case 'unknownUser':
      return {
        severity,
        code: SqlState.INVALID_AUTHORIZATION,
        message: `catalogue entry "${error.user}" does not exist`,
      };
    case 'authenticationFailed':
      return {
        severity,
        code: SqlState.INVALID_PASSWORD,
        message: 'password authentication failed',
      };
    case 'unsupportedSetting':
      return {
        severity,
        code: SqlState.FEATURE_NOT_SUPPORTED,
        message: `the proxy does not support the setting "${error.name}"`,
      };
    case 'tooManySessions':
      return {
        severity,
        code: SqlState.TOO_MANY_CONNECTIONS,
        message:
          'not run: this proxy has reached its maximum number of sessions',
        hint: 'Try again in 1000 ms.',
      };
    case 'draining':
      return {
        severity,
        code: SqlState.CANNOT_CONNECT_NOW,
        message: 'this proxy is shutting down; connect again',
      };
    default:
      return {
        severity,
        code: SqlState.PROTOCOL_VIOLATION,
        message: 'malformed start-up message',
      };
  }
}
