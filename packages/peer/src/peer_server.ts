import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer as createTlsServer, ServerOptions} from 'node:https';
import {Server as TlsServer} from 'node:https';
import {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {WebSocket, WebSocketServer} from 'ws';
import {Logger} from '@apricotlock/logging';
import {LinkOptions} from './link_options.js';
import {Address} from './peer_address.js';
import {answerProof, PEER_PROTOCOL, speaksProtocol} from './peer_handshake.js';
import {ringFrom} from './secret_ring.js';
import {StrangerGuard} from './stranger_guard.js';
import {TlsIdentity} from './tls_identity.js';

const HANDSHAKE_TIMEOUT_MILLISECONDS = 2_000;
/** A flood of strangers must not fill the queue in which peers wait too. */
const LISTEN_BACKLOG = 4_096;
const MAXIMUM_HEADER_BYTES = 8 << 10;

/** What listening for peers needs. */
export interface PeerServerOptions extends LinkOptions {
  readonly listen: Address;
  readonly logger: Logger;
}

/** Listens for peers, and lets in only those that prove themselves. */
export class PeerServer {
  private readonly sockets: WebSocketServer;
  private readonly guard: StrangerGuard;

  private constructor(
    private readonly options: PeerServerOptions,
    private readonly server: Server | TlsServer,
    private readonly accept: (socket: WebSocket) => void,
  ) {
    this.sockets = new WebSocketServer({
      noServer: true,
      maxPayload: options.maximumMessageBytes,
      perMessageDeflate: false,
      skipUTF8Validation: true,
    });
    this.guard = StrangerGuard.watch(server, options.timer);
    server.on('upgrade', (request, socket, head) =>
      this.upgrade(request, socket, head),
    );
    server.on('tlsClientError', (_error, socket) => socket.destroy());
  }

  /** Starts to listen. Throws if the address can't be had. */
  static async start(
    options: PeerServerOptions,
    accept: (socket: WebSocket) => void,
  ): Promise<PeerServer> {
    const server = listenerFor(options);
    const peers = new PeerServer(options, server, accept);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      const {host, port} = options.listen;
      server.listen({host, port, backlog: LISTEN_BACKLOG}, resolve);
    });
    return peers;
  }

  /** Ends every link and listens no more. */
  async close(): Promise<void> {
    for (const socket of this.sockets.clients) socket.terminate();
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private upgrade(request: IncomingMessage, socket: Duplex, head: Buffer) {
    socket.on('error', () => socket.destroy());
    const proof = answerProof(request.headers, ringFrom(this.options.key));
    if (proof === undefined) {
      refuse(socket, '401 Unauthorized');
      return;
    }
    if (!speaksProtocol(request.headers)) {
      const offered = request.headers['sec-websocket-protocol'] ?? 'nothing';
      this.options.logger.warn('a peer speaks another version', {
        offered,
        spoken: PEER_PROTOCOL,
      });
      refuse(socket, '426 Upgrade Required');
      return;
    }
    this.guard.recognise(socket as Socket);
    this.sockets.once('headers', headers => headers.push(proof));
    this.sockets.handleUpgrade(request, socket, head, this.accept);
  }
}

function listenerFor(options: PeerServerOptions): Server | TlsServer {
  const limits = {
    headersTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
    requestTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
    connectionsCheckingInterval: HANDSHAKE_TIMEOUT_MILLISECONDS / 4,
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
  };
  const {tls} = options;
  const identity = tls?.current;
  if (tls === undefined || identity === undefined) {
    return createServer(limits, answerStranger);
  }
  const server = createTlsServer(
    {
      ...limits,
      ...serverTls(identity),
      handshakeTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
    },
    answerStranger,
  );
  // New links take the new certificate; those that are open live on.
  tls.subscribe(renewed => {
    if (renewed !== undefined) server.setSecureContext(serverTls(renewed));
  });
  return server;
}

function serverTls(identity: TlsIdentity): ServerOptions {
  return {
    cert: identity.certificate,
    key: identity.privateKey,
    ca: identity.authority,
    requestCert: true,
    rejectUnauthorized: true,
  };
}

function answerStranger(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  response.writeHead(404, {connection: 'close'}).end();
}

function refuse(socket: Duplex, status: string): void {
  socket.end(
    `HTTP/1.1 ${status}\r\nSec-WebSocket-Protocol: ${PEER_PROTOCOL}\r\n` +
      'Connection: close\r\nContent-Length: 0\r\n\r\n',
  );
}
