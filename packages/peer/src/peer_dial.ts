import {IncomingMessage} from 'node:http';
import {Either, Left, Right} from 'purify-ts';
import {ClientOptions, WebSocket} from 'ws';
import {Deferred, TIMED_OUT, withTimeout} from '@apricotlock/flow';
import {LinkOptions} from './link_options.js';
import {Address} from './peer_address.js';
import {PeerError} from './peer_error.js';
import {DialProof, PEER_PROTOCOL} from './peer_handshake.js';
import {ringFrom} from './secret_ring.js';
import {TlsIdentity} from './tls_identity.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const HTTP_UNAUTHORIZED = 401;

/** Connects to a peer; both sides have proved themselves when it resolves. */
export async function dialPeer(
  to: Address,
  options: LinkOptions,
): Promise<Either<PeerError, WebSocket>> {
  const proof = DialProof.create(ringFrom(options.key));
  const identity = options.tls?.current;
  const socket = new WebSocket(urlOf(to, identity), PEER_PROTOCOL, {
    headers: proof.headers(),
    maxPayload: options.maximumMessageBytes,
    perMessageDeflate: false,
    skipUTF8Validation: true,
    ...tlsOptions(identity),
  });
  const opened = Deferred.create<Either<PeerError, WebSocket>>();
  let proved = false;
  socket.on('upgrade', response => {
    proved = proof.accepts(response.headers);
  });
  socket.on('open', () =>
    opened.resolve(
      proved ? Right(socket) : notSent('the other side has another key'),
    ),
  );
  socket.on('unexpected-response', (_request, response) => {
    opened.resolve(notSent(reasonOf(response)));
    socket.terminate();
  });
  socket.on('error', error => opened.resolve(notSent(error.message)));
  const outcome = await withTimeout(
    options.timer,
    CONNECT_TIMEOUT_MILLISECONDS,
    opened.promise,
  );
  const result =
    outcome === TIMED_OUT ? notSent('no connection in time') : outcome;
  if (result.isLeft()) socket.terminate();
  return result;
}

function urlOf({host, port}: Address, identity?: TlsIdentity): string {
  const scheme = identity === undefined ? 'ws' : 'wss';
  const written = host.includes(':') ? `[${host}]` : host;
  return `${scheme}://${written}:${port}/`;
}

function tlsOptions(identity?: TlsIdentity): ClientOptions {
  if (identity === undefined) return {};
  return {
    cert: identity.certificate,
    key: identity.privateKey,
    ca: identity.authority,
    rejectUnauthorized: true,
    // The authority signs for this system alone, whatever the addresses are:
    // false means that nothing is wrong with the name.
    checkServerIdentity: () => false,
  };
}

function reasonOf(response: IncomingMessage): string {
  if (response.statusCode === HTTP_UNAUTHORIZED) return 'the key was refused';
  const spoken = response.headers['sec-websocket-protocol'] ?? 'something else';
  return (
    `refused with ${response.statusCode}: this VM speaks ${PEER_PROTOCOL}, ` +
    `the other one ${spoken}`
  );
}

function notSent(reason: string): Either<PeerError, never> {
  return Left({kind: 'notSent', reason});
}
