import {connect, Socket} from 'node:net';
import {connect as connectTls} from 'node:tls';
import {Either, Left, Right} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';

/** SSLRequest: length 8 and request code 80877103. */
const TLS_REQUEST = Buffer.from([0, 0, 0, 8, 4, 210, 22, 47]);
const TLS_ACCEPTED = 'S';

/** TLS options for a connection to a backend server. */
export interface BackendTls {
  /** Trusted issuers of the server's certificate, in PEM format. */
  readonly authorities: readonly string[];
}

/** The address of a backend server, and how to connect to it. */
export interface BackendAddress {
  readonly host: string;
  readonly port: number;
  /** Without it, the connection is not encrypted. */
  readonly tls?: BackendTls | undefined;
  /**
   * Aborting the signal destroys the socket. This also closes a connection that
   * has already been opened.
   */
  readonly abort?: AbortSignal;
}

/** Why a connection could not be opened. */
export type BackendSocketError =
  | {readonly kind: 'unreachable'; readonly reason: string}
  /**
   * The server does not support TLS, or the handshake failed, for example
   * because its certificate is not trusted.
   */
  | {readonly kind: 'notProtected'; readonly reason: string};

/** Connects to a server, and starts TLS if the address has TLS options. */
export async function connectToBackend(
  address: BackendAddress,
): Promise<Either<BackendSocketError, Socket>> {
  const {host, port, abort, tls} = address;
  const outcome = Deferred.create<Either<BackendSocketError, Socket>>();
  const socket = connect({host, port, noDelay: true});
  socket.once('connect', () => outcome.resolve(Right(socket)));
  socket.on('error', (error: NodeJS.ErrnoException) => {
    outcome.resolve(Left(unreachable(error.code ?? 'error')));
  });
  const abortConnection = () =>
    socket.destroy(new Error('connection attempt aborted'));
  abort?.addEventListener('abort', abortConnection, {once: true});
  const connected = await outcome.promise;
  if (tls === undefined || connected.isLeft()) return connected;
  const upgraded = await upgradeToTls(socket, host, tls);
  if (upgraded.isLeft()) socket.destroy();
  return upgraded;
}

async function upgradeToTls(
  socket: Socket,
  host: string,
  {authorities}: BackendTls,
): Promise<Either<BackendSocketError, Socket>> {
  socket.write(TLS_REQUEST);
  const reply = await readFirstChunk(socket);
  // The reply must be exactly one byte. Further bytes, which an attacker could
  // have injected before TLS, would be processed as part of the encrypted
  // stream (CVE-2021-23222).
  if (reply?.toString('latin1') !== TLS_ACCEPTED) {
    return Left({
      kind: 'notProtected',
      reason: 'the server did not accept TLS',
    });
  }
  const outcome = Deferred.create<Either<BackendSocketError, Socket>>();
  const tlsSocket = connectTls({socket, host, ca: [...authorities]});
  tlsSocket.once('secureConnect', () => outcome.resolve(Right(tlsSocket)));
  tlsSocket.on('error', error => {
    outcome.resolve(Left({kind: 'notProtected', reason: error.message}));
  });
  tlsSocket.once('close', () =>
    outcome.resolve(Left(unreachable('connection closed'))),
  );
  return outcome.promise;
}

function readFirstChunk(socket: Socket): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const handleClose = () => resolve(undefined);
    socket.once('close', handleClose);
    socket.once('data', (chunk: Buffer) => {
      socket.off('close', handleClose);
      socket.pause();
      resolve(chunk);
    });
  });
}

function unreachable(reason: string): BackendSocketError {
  return {kind: 'unreachable', reason};
}
