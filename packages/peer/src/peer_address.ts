/** The IP address and port at which a process listens for its peers. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Returns a string that identifies an address, for use as a map key. */
export function addressKey(address: Address): string {
  return `${address.host}|${address.port}`;
}
