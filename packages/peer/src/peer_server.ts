import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer as createTlsServer, ServerOptions} from 'node:https';
import {Server as TlsServer} from 'node:https';
import {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {WebSocket, WebSocketServer} from 'ws';
import {Logger} from '@apricotlock/logging';
import {getCurrentKeyRing} from './key_ring.js';
import {LinkOptions} from './link_options.js';
import {MESSAGE_COMPRESSION} from './message_compression.js';
import {Address} from './peer_address.js';
import {
  createAcceptProof,
  PEER_PROTOCOL,
  supportsProtocol,
} from './peer_handshake.js';
import {TlsIdentity} from './tls_identity.js';
import {UnauthenticatedConnectionGuard} from './unauthenticated_connection_guard.js';

const HANDSHAKE_TIMEOUT_MILLISECONDS = 2_000;
/**
 * Large, so that a flood of unauthenticated clients does not fill the queue of
 * connections in which peers wait too.
 */
const LISTEN_BACKLOG = 4_096;
const MAXIMUM_HEADER_BYTES = 8 << 10;

/** Options of {@link PeerServer}. */
export interface PeerServerOptions extends LinkOptions {
  readonly listen: Address;
  readonly logger: Logger;
}

/** Listens for peers, and accepts only those that authenticate. */
export class PeerServer {
  private readonly webSocketServer: WebSocketServer;
  private readonly connectionGuard: UnauthenticatedConnectionGuard;

  private constructor(
    private readonly options: PeerServerOptions,
    private readonly server: Server | TlsServer,
    private readonly handleConnection: (socket: WebSocket) => void,
  ) {
    this.webSocketServer = new WebSocketServer({
      noServer: true,
      maxPayload: options.maximumMessageBytes,
      perMessageDeflate: MESSAGE_COMPRESSION,
      skipUTF8Validation: true,
    });
    this.connectionGuard = UnauthenticatedConnectionGuard.watch(
      server,
      options.timer,
    );
    server.on('upgrade', (request, socket, head) =>
      this.handleUpgrade(request, socket, head),
    );
    server.on('tlsClientError', (_error, socket) => socket.destroy());
  }

  /**
   * Starts listening, and passes authenticated connections to
   * `handleConnection`. Throws if the address cannot be bound.
   */
  static async start(
    options: PeerServerOptions,
    handleConnection: (socket: WebSocket) => void,
  ): Promise<PeerServer> {
    const server = createListener(options);
    const peerServer = new PeerServer(options, server, handleConnection);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      const {host, port} = options.listen;
      server.listen({host, port, backlog: LISTEN_BACKLOG}, resolve);
    });
    return peerServer;
  }

  /** Terminates all connections and stops listening. */
  async close(): Promise<void> {
    for (const socket of this.webSocketServer.clients) socket.terminate();
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private handleUpgrade(
    request: IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ) {
    socket.on('error', () => socket.destroy());
    const proof = createAcceptProof(
      request.headers,
      getCurrentKeyRing(this.options.key),
    );
    if (proof === undefined) {
      rejectUpgrade(socket, '401 Unauthorized');
      return;
    }
    if (!supportsProtocol(request.headers)) {
      const offered = request.headers['sec-websocket-protocol'] ?? 'nothing';
      this.options.logger.warn('peer refused: other protocol version', {
        offered,
        supported: PEER_PROTOCOL,
      });
      rejectUpgrade(socket, '426 Upgrade Required');
      return;
    }
    this.connectionGuard.markAuthenticated(socket as Socket);
    this.webSocketServer.once('headers', headers => headers.push(proof));
    this.webSocketServer.handleUpgrade(
      request,
      socket,
      head,
      this.handleConnection,
    );
  }
}

function createListener(options: PeerServerOptions): Server | TlsServer {
  const limits = {
    headersTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
    requestTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
    connectionsCheckingInterval: HANDSHAKE_TIMEOUT_MILLISECONDS / 4,
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
  };
  const {tls} = options;
  const identity = tls?.current;
  if (tls === undefined || identity === undefined) {
    return createServer(limits, rejectPlainRequest);
  }
  const server = createTlsServer(
    {
      ...limits,
      ...createTlsOptions(identity),
      handshakeTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
    },
    rejectPlainRequest,
  );
  // New links use the new certificate; open links are not affected.
  tls.subscribe(latest => {
    if (latest !== undefined) server.setSecureContext(createTlsOptions(latest));
  });
  return server;
}

function createTlsOptions(identity: TlsIdentity): ServerOptions {
  return {
    cert: identity.certificate,
    key: identity.privateKey,
    ca: identity.authority,
    requestCert: true,
    rejectUnauthorized: true,
  };
}

function rejectPlainRequest(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  response.writeHead(404, {connection: 'close'}).end();
}

function rejectUpgrade(socket: Duplex, status: string): void {
  socket.end(
    `HTTP/1.1 ${status}\r\nSec-WebSocket-Protocol: ${PEER_PROTOCOL}\r\n` +
      'Connection: close\r\nContent-Length: 0\r\n\r\n',
  );
}
