/** Type bytes of messages sent by clients (PostgreSQL protocol 3.0). */
export const FrontendType = {
  BIND: 0x42,
  CLOSE: 0x43,
  COPY_DATA: 0x64,
  COPY_DONE: 0x63,
  COPY_FAIL: 0x66,
  DESCRIBE: 0x44,
  EXECUTE: 0x45,
  FLUSH: 0x48,
  FUNCTION_CALL: 0x46,
  PARSE: 0x50,
  PASSWORD: 0x70,
  QUERY: 0x51,
  SYNC: 0x53,
  TERMINATE: 0x58,
} as const;

/** Type bytes of messages sent by servers (PostgreSQL protocol 3.0). */
export const BackendType = {
  AUTHENTICATION: 0x52,
  BACKEND_KEY_DATA: 0x4b,
  BIND_COMPLETE: 0x32,
  CLOSE_COMPLETE: 0x33,
  COMMAND_COMPLETE: 0x43,
  COPY_BOTH_RESPONSE: 0x57,
  COPY_IN_RESPONSE: 0x47,
  COPY_OUT_RESPONSE: 0x48,
  DATA_ROW: 0x44,
  EMPTY_QUERY: 0x49,
  ERROR_RESPONSE: 0x45,
  NO_DATA: 0x6e,
  NOTICE: 0x4e,
  PARAMETER_DESCRIPTION: 0x74,
  PARAMETER_STATUS: 0x53,
  PARSE_COMPLETE: 0x31,
  PORTAL_SUSPENDED: 0x73,
  READY_FOR_QUERY: 0x5a,
  ROW_DESCRIPTION: 0x54,
} as const;

/** The transaction status that ReadyForQuery reports. */
export type TransactionStatus = 'idle' | 'transaction' | 'failed';

const STATUS_BYTES: Readonly<Record<TransactionStatus, number>> = {
  idle: 0x49,
  transaction: 0x54,
  failed: 0x45,
};

/** Returns the byte that encodes a transaction status. */
export function transactionStatusByte(status: TransactionStatus): number {
  return STATUS_BYTES[status];
}

/**
 * Returns the transaction status that a byte encodes. Unknown bytes count as
 * `failed`.
 */
export function transactionStatusFromByte(byte: number): TransactionStatus {
  if (byte === STATUS_BYTES.idle) return 'idle';
  return byte === STATUS_BYTES.transaction ? 'transaction' : 'failed';
}
