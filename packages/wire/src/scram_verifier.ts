import {createScramSha256Data} from 'pg-gateway';

/**
 * The data stored in place of a password, against which SCRAM-SHA-256 checks
 * that a caller knows the password (RFC 5802 and RFC 7677). Binary values are
 * in base64.
 */
export interface ScramVerifier {
  readonly salt: string;
  readonly iterations: number;
  readonly storedKey: string;
  readonly serverKey: string;
}

/** Creates a verifier for a password, with a new random salt. */
export function createScramVerifier(password: string): Promise<ScramVerifier> {
  return createScramSha256Data(password);
}
