import {createServer, RequestListener, Server} from 'node:http';
import {createServer as createTlsServer, Server as TlsServer} from 'node:https';
import {Observable} from '@apricotlock/flow';
import {UnauthenticatedConnectionGuard} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';

const REQUEST_TIMEOUT_MILLISECONDS = 10_000;
const HEADERS_TIMEOUT_MILLISECONDS = 2_000;
const MAXIMUM_HEADER_BYTES = 8 << 10;

/** The certificate and private key of the API's TLS server, as PEM texts. */
export interface OperatorTls {
  readonly certificate: string;
  readonly privateKey: string;
}

/**
 * The HTTP or HTTPS server of the API, and the guard that limits its
 * unauthenticated connections.
 */
export interface OperatorListener {
  readonly server: Server | TlsServer;
  readonly guard: UnauthenticatedConnectionGuard;
}

/**
 * Creates the server, which does not listen yet. It uses TLS if `tls` has a
 * value now, and uses a renewed certificate for new connections.
 */
export function createOperatorListener(
  handler: RequestListener,
  tls: Observable<OperatorTls | undefined>,
  timer: TimerService,
): OperatorListener {
  const limits = {
    requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
    headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
    connectionsCheckingInterval: HEADERS_TIMEOUT_MILLISECONDS / 4,
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
  };
  const identity = tls.current;
  const server =
    identity === undefined
      ? createServer(limits, handler)
      : createTlsServer(
          {
            ...limits,
            ...tlsOptions(identity),
            handshakeTimeout: HEADERS_TIMEOUT_MILLISECONDS,
          },
          handler,
        );
  if (server instanceof TlsServer) {
    server.on('tlsClientError', (_error, socket) => socket.destroy());
    tls.subscribe(renewed => {
      if (renewed !== undefined) server.setSecureContext(tlsOptions(renewed));
    });
  }
  return {server, guard: UnauthenticatedConnectionGuard.watch(server, timer)};
}

function tlsOptions({certificate, privateKey}: OperatorTls) {
  return {cert: certificate, key: privateKey};
}
