import {Either, Left, Right} from 'purify-ts';

const ADDRESS_PATTERN = /^([0-9a-fA-F.:]+):([0-9]{1,5})$/;
const MAXIMUM_PORT = 65_535;

/** Where a process listens: an IP number and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** A text that should have been an address, and is not. */
export interface AddressError {
  readonly kind: 'malformedAddress';
  readonly text: string;
}

/** Reads `127.0.0.1:7000`; an IPv6 number may stand in brackets. */
export function parseAddress(text: string): Either<AddressError, Address> {
  const match = ADDRESS_PATTERN.exec(text.replace(/^\[([^\]]*)\]/, '$1'));
  if (match === null) return Left({kind: 'malformedAddress', text});
  const port = Number(match[2]);
  if (port > MAXIMUM_PORT) return Left({kind: 'malformedAddress', text});
  return Right({host: match[1] as string, port});
}

/** Writes the form that {@link parseAddress} reads. */
export function formatAddress(address: Address): string {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}
