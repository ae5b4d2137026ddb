import {FRAME_HEADER_BYTES, FrontendType} from '@apricotlock/wire';

const TRANSACTION_END = /^\s*(commit|end|rollback|abort)\s*;?\s*$/i;
const MAXIMUM_TEXT_BYTES = 64;

/** Whether the bytes are one simple query that ends a transaction. */
export function endsTransaction(bytes: Buffer): boolean {
  if (bytes[0] !== FrontendType.QUERY) return false;
  // The text ends with a zero byte.
  const end = bytes.length - 1;
  if (end - FRAME_HEADER_BYTES > MAXIMUM_TEXT_BYTES) return false;
  return TRANSACTION_END.test(bytes.toString('utf8', FRAME_HEADER_BYTES, end));
}
