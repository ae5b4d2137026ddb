import {FRAME_HEADER_BYTES, FrontendType} from '@apricotlock/wire';

const TRANSACTION_END_PATTERN = /^\s*(commit|end|rollback|abort)\s*;?\s*$/i;
/** Longer query texts are taken not to end a transaction. */
const MAXIMUM_TEXT_BYTES = 64;

/** Returns whether the bytes are one simple query that ends a transaction. */
export function endsTransaction(bytes: Buffer): boolean {
  if (bytes[0] !== FrontendType.QUERY) return false;
  // The query text is terminated by a zero byte.
  const end = bytes.length - 1;
  if (end - FRAME_HEADER_BYTES > MAXIMUM_TEXT_BYTES) return false;
  return TRANSACTION_END_PATTERN.test(
    bytes.toString('utf8', FRAME_HEADER_BYTES, end),
  );
}
