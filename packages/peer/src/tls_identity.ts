/**
 * The TLS identity of a process, as PEM texts. The authority signs only
 * certificates of this system's processes, so every holder of one is a peer,
 * whatever name or address the certificate contains.
 */
export interface TlsIdentity {
  readonly certificate: string;
  readonly privateKey: string;
  readonly authority: string;
}
