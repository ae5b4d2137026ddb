/** Where a process listens for its peers: an IP number and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** A key for maps of addresses. */
export function addressKey(address: Address): string {
  return `${address.host}|${address.port}`;
}
