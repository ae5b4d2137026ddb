import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {IncomingHttpHeaders} from 'node:http';
import {SecretRing} from './secret_ring.js';

/**
 * The version of what passes over links, offered as a WebSocket subprotocol.
 * Processes of another version refuse each other, with both versions named.
 */
export const PEER_PROTOCOL = 'apricotlock.2';

const NONCE_HEADER = 'x-apricotlock-nonce';
const PROOF_HEADER = 'x-apricotlock-proof';
const NONCE_BYTES = 24;
const MAXIMUM_HEADER_CHARACTERS = 128;

/** How one side of a link proves that it holds the key. */
type Side = 'dial' | 'accept';

/** The dialling side's part; the key itself never travels. */
export class DialProof {
  private constructor(
    private readonly nonce: string,
    private readonly ring: SecretRing,
  ) {}

  /** A proof for one connection. */
  static create(ring: SecretRing): DialProof {
    return new DialProof(randomBytes(NONCE_BYTES).toString('hex'), ring);
  }

  /** What the dialling side sends. */
  headers(): Readonly<Record<string, string>> {
    return {
      [NONCE_HEADER]: this.nonce,
      [PROOF_HEADER]: proofOf('dial', this.nonce, this.ring.current),
    };
  }

  /** Whether the other side has proved itself as well. */
  accepts(headers: IncomingHttpHeaders): boolean {
    const given = headers[PROOF_HEADER];
    return keyThatProves('accept', this.nonce, given, this.ring) !== undefined;
  }
}

/**
 * The accepting side's answer to a proof, as a header line; `undefined` for a
 * stranger.
 */
export function answerProof(
  headers: IncomingHttpHeaders,
  ring: SecretRing,
): string | undefined {
  const nonce = headers[NONCE_HEADER];
  if (typeof nonce !== 'string') return undefined;
  const key = keyThatProves('dial', nonce, headers[PROOF_HEADER], ring);
  if (key === undefined) return undefined;
  return `${PROOF_HEADER}: ${proofOf('accept', nonce, key)}`;
}

/** Whether the dialling side speaks this version. */
export function speaksProtocol(headers: IncomingHttpHeaders): boolean {
  const offered = headers['sec-websocket-protocol'] ?? '';
  return offered.split(',').some(name => name.trim() === PEER_PROTOCOL);
}

function keyThatProves(
  side: Side,
  nonce: string,
  given: string | readonly string[] | undefined,
  ring: SecretRing,
): string | undefined {
  if (typeof given !== 'string' || given.length > MAXIMUM_HEADER_CHARACTERS) {
    return undefined;
  }
  if (nonce.length > MAXIMUM_HEADER_CHARACTERS) return undefined;
  const proof = Buffer.from(given);
  return ring.accepted.find(key => {
    const wanted = Buffer.from(proofOf(side, nonce, key));
    return wanted.length === proof.length && timingSafeEqual(wanted, proof);
  });
}

function proofOf(side: Side, nonce: string, key: string): string {
  return createHmac('sha256', key).update(`${side} ${nonce}`).digest('hex');
}
