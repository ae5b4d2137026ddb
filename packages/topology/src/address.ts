import {isIP} from 'node:net';
import {Either, Left, Right} from 'purify-ts';

const ADDRESS_PATTERN = /^([0-9a-fA-F.:]+):([0-9]{1,5})$/;
const MAXIMUM_PORT = 65_535;

/** The IP address and TCP port on which a process listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** The error for a text that is not an IP address and a port. */
export interface AddressError {
  readonly kind: 'malformedAddress';
  readonly text: string;
}

/**
 * Parses an IP address and port such as `127.0.0.1:7000`. An IPv6 address may
 * be enclosed in brackets.
 */
export function parseAddress(text: string): Either<AddressError, Address> {
  const match = ADDRESS_PATTERN.exec(text.replace(/^\[([^\]]*)\]/, '$1'));
  if (match === null) return Left({kind: 'malformedAddress', text});
  const port = Number(match[2]);
  if (port > MAXIMUM_PORT) return Left({kind: 'malformedAddress', text});
  return Right({host: match[1] as string, port});
}

/**
 * Formats an address so that {@link parseAddress} can read it, with an IPv6
 * address in brackets.
 */
export function formatAddress(address: Address): string {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/**
 * Returns whether a connection to an address can be opened: its host is an IP
 * address, and its port is in range and not 0.
 */
export function isConnectable({host, port}: Address): boolean {
  return isIP(host) !== 0 && port > 0 && port <= MAXIMUM_PORT;
}
