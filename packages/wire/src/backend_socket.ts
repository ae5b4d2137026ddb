import {connect, Socket} from 'node:net';
import {connect as connectSecurely} from 'node:tls';
import {Either, Left, Right} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';

const TLS_REQUEST = Buffer.from([0, 0, 0, 8, 4, 210, 22, 47]);
const TLS_ACCEPTED = 'S';

/** How a connection to a backend server is protected. */
export interface BackendTls {
  /** Whom the server's certificate must be from, as PEM texts. */
  readonly authorities: readonly string[];
}

/** Where a backend server takes connections. */
export interface BackendAddress {
  readonly host: string;
  readonly port: number;
  /** Without it the connection is in clear text. */
  readonly tls?: BackendTls | undefined;
  /** Gives the attempt up, and closes its socket, once aborted. */
  readonly abort?: AbortSignal;
}

/** Why there is no connection. */
export type BackendSocketError =
  | {readonly kind: 'unreachable'; readonly reason: string}
  /** It does not offer TLS, or its certificate is not to be trusted. */
  | {readonly kind: 'notProtected'; readonly reason: string};

/** Connects, and protects the connection if that is asked for. */
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
  const giveUp = () => socket.destroy(new Error('given up'));
  abort?.addEventListener('abort', giveUp, {once: true});
  const connected = await outcome.promise;
  if (tls === undefined || connected.isLeft()) return connected;
  const secured = await secure(socket, host, tls);
  if (secured.isLeft()) socket.destroy();
  return secured;
}

async function secure(
  socket: Socket,
  host: string,
  {authorities}: BackendTls,
): Promise<Either<BackendSocketError, Socket>> {
  socket.write(TLS_REQUEST);
  const reply = await firstBytes(socket);
  // More than one byte would be taken for part of the protected stream
  // (CVE-2021-23222).
  if (reply?.toString('latin1') !== TLS_ACCEPTED) {
    return Left({kind: 'notProtected', reason: 'the server offers no TLS'});
  }
  const outcome = Deferred.create<Either<BackendSocketError, Socket>>();
  const secured = connectSecurely({socket, host, ca: [...authorities]});
  secured.once('secureConnect', () => outcome.resolve(Right(secured)));
  secured.on('error', error => {
    outcome.resolve(Left({kind: 'notProtected', reason: error.message}));
  });
  secured.once('close', () => outcome.resolve(Left(unreachable('closed'))));
  return outcome.promise;
}

function firstBytes(socket: Socket): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const closed = () => resolve(undefined);
    socket.once('close', closed);
    socket.once('data', (chunk: Buffer) => {
      socket.off('close', closed);
      socket.pause();
      resolve(chunk);
    });
  });
}

function unreachable(reason: string): BackendSocketError {
  return {kind: 'unreachable', reason};
}
