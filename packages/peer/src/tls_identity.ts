/**
 * With what a process proves itself in TLS, as PEM texts. The authority signs
 * the certificates of this system's processes and no others: whoever has one
 * of them is a peer, whatever name or address stands in it.
 */
export interface TlsIdentity {
  readonly certificate: string;
  readonly privateKey: string;
  readonly authority: string;
}
