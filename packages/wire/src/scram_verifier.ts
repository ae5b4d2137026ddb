import {createScramSha256Data} from 'pg-gateway';

/**
 * What is kept of a password, so that a caller can prove that it knows it:
 * RFC 5802, with SHA-256 (RFC 7677). Binary values are base64.
 */
export interface ScramVerifier {
  readonly salt: string;
  readonly iterations: number;
  readonly storedKey: string;
  readonly serverKey: string;
}

/** Makes a verifier, with a salt of its own, for a password. */
export function scramVerifier(password: string): Promise<ScramVerifier> {
  return createScramSha256Data(password);
}
