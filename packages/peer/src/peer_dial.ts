import {IncomingMessage} from 'node:http';
import {Either, Left, Right} from 'purify-ts';
import {ClientOptions, WebSocket} from 'ws';
import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {getCurrentKeyRing} from './key_ring.js';
import {LinkOptions} from './link_options.js';
import {Address} from './peer_address.js';
import {MESSAGE_COMPRESSION} from './message_compression.js';
import {PeerError} from './peer_error.js';
import {DialHandshake, PEER_PROTOCOL} from './peer_handshake.js';
import {TlsIdentity} from './tls_identity.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const HTTP_UNAUTHORIZED = 401;

/**
 * Connects to a peer. Resolves to the socket once both sides are authenticated,
 * or to a `notSent` error.
 */
export async function dialPeer(
  to: Address,
  options: LinkOptions,
): Promise<Either<PeerError, WebSocket>> {
  const handshake = DialHandshake.create(getCurrentKeyRing(options.key));
  const identity = options.tls?.current;
  const socket = new WebSocket(buildUrl(to, identity), PEER_PROTOCOL, {
    headers: handshake.headers(),
    maxPayload: options.maximumMessageBytes,
    perMessageDeflate: MESSAGE_COMPRESSION,
    skipUTF8Validation: true,
    ...createTlsOptions(identity),
  });
  const connection = Deferred.create<Either<PeerError, WebSocket>>();
  let isPeerAuthenticated = false;
  socket.on('upgrade', response => {
    isPeerAuthenticated = handshake.verifyResponse(response.headers);
  });
  socket.on('open', () =>
    connection.resolve(
      isPeerAuthenticated
        ? Right(socket)
        : notSent('the other side does not have the shared key'),
    ),
  );
  socket.on('unexpected-response', (_request, response) => {
    connection.resolve(notSent(describeRefusal(response)));
    socket.terminate();
  });
  socket.on('error', error => connection.resolve(notSent(error.message)));
  const outcome = await withTimeout(
    options.timer,
    CONNECT_TIMEOUT_MILLISECONDS,
    connection.promise,
  );
  const result =
    outcome === TIMED_OUT ? notSent('connection timed out') : outcome;
  if (result.isLeft()) socket.terminate();
  return result;
}

function buildUrl({host, port}: Address, identity?: TlsIdentity): string {
  const scheme = identity === undefined ? 'ws' : 'wss';
  const urlHost = host.includes(':') ? `[${host}]` : host;
  return `${scheme}://${urlHost}:${port}/`;
}

function createTlsOptions(identity?: TlsIdentity): ClientOptions {
  if (identity === undefined) return {};
  return {
    cert: identity.certificate,
    key: identity.privateKey,
    ca: identity.authority,
    rejectUnauthorized: true,
    // Host names are not checked, because the authority signs certificates only
    // for this system. The name check passes if the result is not an error.
    checkServerIdentity: () => false,
  };
}

function describeRefusal(response: IncomingMessage): string {
  if (response.statusCode === HTTP_UNAUTHORIZED) return 'shared key refused';
  const protocol =
    response.headers['sec-websocket-protocol'] ?? 'an unknown protocol';
  return (
    `refused with ${response.statusCode}: this VM supports ${PEER_PROTOCOL}, ` +
    `the other side ${protocol}`
  );
}

function notSent(reason: string): Either<PeerError, never> {
  return Left({kind: 'notSent', reason});
}
