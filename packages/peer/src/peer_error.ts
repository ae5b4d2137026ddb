/** The reason why a call to another process of the system failed. */
export type PeerError =
  /** The request was not sent, for instance because no connection was made. */
  | {readonly kind: 'notSent'; readonly reason: string}
  /**
   * The link was lost or the call timed out. The request may have been carried
   * out.
   */
  | {readonly kind: 'noAnswer'; readonly reason: string}
  /** The other side refused the request for the given reason. */
  | {readonly kind: 'refused'; readonly reason: string}
  /** The answer does not match the schema of the call. */
  | {readonly kind: 'malformedAnswer'};

/** Describes an error in one line, for logs. */
export function describePeerError(error: PeerError): string {
  return 'reason' in error ? `${error.kind}: ${error.reason}` : error.kind;
}
