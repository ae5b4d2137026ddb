import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {IncomingHttpHeaders} from 'node:http';
import {KeyRing} from './key_ring.js';

/**
 * The protocol version of links, offered as a WebSocket subprotocol. Processes
 * with different versions refuse each other and report both versions.
 */
export const PEER_PROTOCOL = 'apricotlock.3';

const NONCE_HEADER = 'x-apricotlock-nonce';
const PROOF_HEADER = 'x-apricotlock-proof';
const NONCE_BYTES = 24;
const MAXIMUM_HEADER_CHARACTERS = 128;

/**
 * The side of a link that computes a proof. It is part of the proof, so that a
 * proof of one side is not valid for the other.
 */
type HandshakeRole = 'dial' | 'accept';

/** The dialling side of the handshake. The key itself is never sent. */
export class DialHandshake {
  private constructor(
    private readonly nonce: string,
    private readonly keyRing: KeyRing,
  ) {}

  /** Creates the handshake of one connection, with a random nonce. */
  static create(keyRing: KeyRing): DialHandshake {
    return new DialHandshake(randomBytes(NONCE_BYTES).toString('hex'), keyRing);
  }

  /** Returns the request headers that prove possession of the key. */
  headers(): Readonly<Record<string, string>> {
    return {
      [NONCE_HEADER]: this.nonce,
      [PROOF_HEADER]: computeProof('dial', this.nonce, this.keyRing.current),
    };
  }

  /** Returns whether the response headers prove that the peer has the key. */
  verifyResponse(headers: IncomingHttpHeaders): boolean {
    const proof = headers[PROOF_HEADER];
    return (
      findProvingKey('accept', this.nonce, proof, this.keyRing) !== undefined
    );
  }
}

/**
 * Verifies the proof of the dialling side. Returns the header line with the
 * proof of the accepting side, or `undefined` for an unauthenticated client.
 */
export function createAcceptProof(
  headers: IncomingHttpHeaders,
  keyRing: KeyRing,
): string | undefined {
  const nonce = headers[NONCE_HEADER];
  if (typeof nonce !== 'string') return undefined;
  const key = findProvingKey('dial', nonce, headers[PROOF_HEADER], keyRing);
  if (key === undefined) return undefined;
  return `${PROOF_HEADER}: ${computeProof('accept', nonce, key)}`;
}

/** Returns whether the dialling side offers this protocol version. */
export function supportsProtocol(headers: IncomingHttpHeaders): boolean {
  const offered = headers['sec-websocket-protocol'] ?? '';
  return offered.split(',').some(name => name.trim() === PEER_PROTOCOL);
}

function findProvingKey(
  role: HandshakeRole,
  nonce: string,
  receivedProof: string | readonly string[] | undefined,
  keyRing: KeyRing,
): string | undefined {
  if (
    typeof receivedProof !== 'string' ||
    receivedProof.length > MAXIMUM_HEADER_CHARACTERS
  ) {
    return undefined;
  }
  if (nonce.length > MAXIMUM_HEADER_CHARACTERS) return undefined;
  const receivedBytes = Buffer.from(receivedProof);
  return keyRing.accepted.find(key => {
    const expected = Buffer.from(computeProof(role, nonce, key));
    return (
      expected.length === receivedBytes.length &&
      timingSafeEqual(expected, receivedBytes)
    );
  });
}

function computeProof(role: HandshakeRole, nonce: string, key: string): string {
  return createHmac('sha256', key).update(`${role} ${nonce}`).digest('hex');
}
