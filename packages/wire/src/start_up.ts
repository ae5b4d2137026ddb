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
const ENCRYPTION_REQUEST_CODE = 80877104;
const MAXIMUM_START_UP_BYTES = 10_000;
const MAXIMUM_WAITING_BYTES = 1 << 20;

/** What a caller said of itself when it connected. */
export type StartUpParameters = Readonly<Record<string, string>> & {
  readonly user: string;
};

/** How a caller proves who it is. */
export type CallerAuthentication =
  | {readonly method: 'trust'}
  | {readonly method: 'scram'; readonly verifier: ScramVerifier};

/** A caller's wish to cancel a statement of another connection. */
export interface CancelRequest {
  readonly processId: number;
  readonly secret: number;
}

/** How callers are let in. */
export interface AcceptOptions {
  /** Longest message that a caller may send, in bytes. */
  readonly maximumMessageBytes: number;
  readonly serverVersion: string;
  readonly secureContext: SecureContext | undefined;
  readonly processId: number;
  readonly secret: number;
  /** How this user is to prove who it is, or why it may not connect. */
  readonly authenticate: (
    parameters: StartUpParameters,
  ) => Either<AcceptError, CallerAuthentication>;
  /** Whether a user who has proved who it is may go on. */
  readonly authorize?: (
    parameters: StartUpParameters,
  ) => Either<AcceptError, unknown>;
}

/** A caller that has proved who it is and may now send statements. */
export interface AcceptedCaller {
  readonly stream: ByteStream;
  readonly splitter: FrameSplitter;
  readonly parameters: StartUpParameters;
}

/** Why a connection did not become a caller. */
export type AcceptError =
  | {readonly kind: 'closed'}
  | {readonly kind: 'malformedStartUp'}
  | {readonly kind: 'cancelRequest'; readonly request: CancelRequest}
  | {readonly kind: 'authenticationFailed'}
  | {readonly kind: 'unknownDatabase'; readonly database: string}
  | {readonly kind: 'unknownUser'; readonly user: string}
  | {readonly kind: 'unsupportedSetting'; readonly name: string}
  | {readonly kind: 'tooManySessions'}
  | {readonly kind: 'draining'};

/**
 * Carries a new connection through TLS, start-up and authentication. On a
 * refusal the caller has been told, and the connection is to be closed.
 */
export async function acceptCaller(
  socket: Socket,
  options: AcceptOptions,
): Promise<Either<AcceptError, AcceptedCaller>> {
  const opened = await readStartUp(socket, options);
  if (opened.isLeft()) return opened as Either<AcceptError, never>;
  const start = opened.unsafeCoerce();
  const chosen = options.authenticate(start.parameters);
  if (chosen.isLeft()) {
    return refuse(start.stream, chosen.extract() as AcceptError);
  }
  start.splitter.expect('regular');
  const proved = await authenticate(start, chosen.unsafeCoerce(), options);
  return proved.map(() => start);
}

interface StartedCaller extends AcceptedCaller {
  readonly startUpFrame: Frame;
}

async function readStartUp(
  socket: Socket,
  options: AcceptOptions,
): Promise<Either<AcceptError, StartedCaller>> {
  let stream = ByteStream.of(socket, MAXIMUM_WAITING_BYTES);
  let splitter = FrameSplitter.create(MAXIMUM_START_UP_BYTES, 'startUp');
  for (;;) {
    const frame = await nextFrame(stream, splitter);
    if (frame === undefined) return Left({kind: 'closed'});
    if (frame === 'malformed' || frame.bytes.length < 8) {
      return refuse(stream, {kind: 'malformedStartUp'});
    }
    const code = frame.bytes.readUInt32BE(4);
    if (code === CANCEL_REQUEST_CODE) return cancelRequest(frame);
    if (code === ENCRYPTION_REQUEST_CODE) {
      stream.write(Buffer.from('N'));
      continue;
    }
    if (code === TLS_REQUEST_CODE) {
      if (options.secureContext === undefined) {
        stream.write(Buffer.from('N'));
        continue;
      }
      stream = upgrade(stream, options.secureContext);
      splitter = FrameSplitter.create(MAXIMUM_START_UP_BYTES, 'startUp');
      continue;
    }
    return startedCaller(stream, splitter, frame, options);
  }
}

function startedCaller(
  stream: ByteStream,
  splitter: FrameSplitter,
  startUpFrame: Frame,
  options: AcceptOptions,
): Either<AcceptError, StartedCaller> {
  const parameters = readParameters(startUpFrame);
  if (parameters === undefined) {
    return refuse(stream, {kind: 'malformedStartUp'});
  }
  const regular = splitter.withLimit(options.maximumMessageBytes);
  return Right({stream, splitter: regular, parameters, startUpFrame});
}

function readParameters(frame: Frame): StartUpParameters | undefined {
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

function cancelRequest(frame: Frame): Either<AcceptError, never> {
  if (frame.bytes.length < 16) return Left({kind: 'malformedStartUp'});
  const processId = frame.bytes.readInt32BE(8);
  const secret = frame.bytes.readInt32BE(12);
  return Left({kind: 'cancelRequest', request: {processId, secret}});
}

/**
 * Bytes that came with the TLS request, before TLS, must not be taken for
 * part of the protected stream (CVE-2021-23214): the old stream is dropped.
 */
function upgrade(stream: ByteStream, secureContext: SecureContext): ByteStream {
  stream.socket.removeAllListeners('data');
  stream.write(Buffer.from('S'));
  const secured = new TLSSocket(stream.socket, {isServer: true, secureContext});
  return ByteStream.of(secured, MAXIMUM_WAITING_BYTES);
}

/** Lets the gateway library do start-up and SCRAM on messages we feed it. */
async function authenticate(
  start: StartedCaller,
  authentication: CallerAuthentication,
  options: AcceptOptions,
): Promise<Either<AcceptError, unknown>> {
  // The library's own pair of streams polls with timers for ever.
  const towardsGateway = new TransformStream<Uint8Array, Uint8Array>();
  const fromGateway = new TransformStream<Uint8Array, Uint8Array>();
  const gateway = new PostgresConnection(
    {readable: towardsGateway.readable, writable: fromGateway.writable},
    {
      serverVersion: options.serverVersion,
      auth: gatewayAuthentication(authentication),
    },
  );
  const writer = towardsGateway.writable.getWriter();
  const reader = fromGateway.readable.getReader();
  const finished = relayAnswers(reader, start, options);
  void writer.write(start.startUpFrame.bytes).catch(() => undefined);
  const relayed = relayMessages(start, writer, gateway);
  const proved = await finished;
  // The library logs any other reason for which its stream may end.
  const over = Object.assign(new Error('start-up is over'), {
    code: 'ABORT_ERR',
  });
  void writer.abort(over).catch(() => undefined);
  void relayed;
  return proved;
}

async function relayMessages(
  start: StartedCaller,
  writer: WritableStreamDefaultWriter<Uint8Array>,
  gateway: PostgresConnection,
): Promise<void> {
  const trusted = gateway.options.auth.method === 'trust';
  const messages = trusted ? 0 : 2;
  for (let count = 0; count < messages; count++) {
    const frame = await nextFrame(start.stream, start.splitter);
    if (frame === undefined || frame === 'malformed') {
      await writer.close().catch(() => undefined);
      return;
    }
    await writer.write(frame.bytes).catch(() => undefined);
  }
}

/** Passes the gateway's answers on until it has let the caller in. */
async function relayAnswers(
  reader: ReadableStreamDefaultReader<Uint8Array>,
  {stream, parameters}: StartedCaller,
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
        welcome(stream, frame, options);
        return authorized;
      }
      if (frame.type === BackendType.ERROR_RESPONSE) {
        // The library's own code is that of an unknown user.
        return refuse(stream, {kind: 'authenticationFailed'});
      }
      stream.write(frame.bytes);
    }
  }
}

const END_OF_STREAM = {value: undefined, done: true} as const;

function welcome(
  stream: ByteStream,
  ready: Frame,
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
      ready.bytes,
    ]),
  );
}

function gatewayAuthentication(authentication: CallerAuthentication) {
  if (authentication.method === 'trust') return {method: 'trust'} as const;
  const {verifier} = authentication;
  return {
    method: 'scram-sha-256',
    getScramSha256Data: () => verifier,
  } as const;
}

async function nextFrame(
  stream: ByteStream,
  splitter: FrameSplitter,
): Promise<Frame | 'malformed' | undefined> {
  for (;;) {
    const result = splitter.next();
    if (result.isLeft()) return 'malformed';
    const frame = result.extract() as Frame | undefined;
    if (frame !== undefined) return frame;
    const chunk = await stream.read();
    if (chunk === undefined) return undefined;
    splitter.push(chunk);
  }
}

function refuse(
  stream: ByteStream,
  error: AcceptError,
): Either<AcceptError, never> {
  stream.write(errorResponse(refusalFor(error)));
  return Left(error);
}

function refusalFor(error: AcceptError) {
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
        message: `no catalogue entry "${error.user}"`,
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
        message: `the proxy cannot keep the setting "${error.name}"`,
      };
    case 'tooManySessions':
      return {
        severity,
        code: SqlState.TOO_MANY_CONNECTIONS,
        message: 'not run: this proxy has as many sessions as it may have',
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
