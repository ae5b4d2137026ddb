/** Why a call to another process of the system gave no answer. */
export type PeerError =
  /** No connection could be made: the request was not sent. */
  | {readonly kind: 'notSent'; readonly reason: string}
  /** The link ended or time ran out: the request may have been carried out. */
  | {readonly kind: 'noAnswer'; readonly reason: string}
  /** The other side refused the request, and says why. */
  | {readonly kind: 'refused'; readonly reason: string}
  /** The other side sent something that does not fit the call's schema. */
  | {readonly kind: 'malformedAnswer'};

/** One line for logs. */
export function describePeerError(error: PeerError): string {
  return 'reason' in error ? `${error.kind}: ${error.reason}` : error.kind;
}
