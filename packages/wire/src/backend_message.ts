import {Frame} from './frame.js';
import {
  BackendType,
  TransactionStatus,
  transactionStatusByte,
  transactionStatusFromByte,
} from './message_type.js';
import {SqlStateCode} from './sql_state.js';

const TEXT_TYPE_OID = 25;
/** Size that RowDescription gives for types of variable length. */
const VARIABLE_TYPE_SIZE = -1;
const NO_TYPE_MODIFIER = -1;
/** Length that DataRow gives for NULL. */
const NULL_LENGTH = -1;

/** Fields of an ErrorResponse sent by a database or by the proxy. */
export interface DatabaseErrorFields {
  readonly severity: 'ERROR' | 'FATAL';
  readonly code: SqlStateCode;
  readonly message: string;
  readonly detail?: string;
  readonly hint?: string;
}

/** A column of RowDescription. */
export interface ColumnDescription {
  readonly name: string;
  /** OID of the column type; `text` if absent. */
  readonly typeOid?: number;
}

/** Encodes ErrorResponse. */
export function errorResponse(error: DatabaseErrorFields): Buffer {
  const fields = [
    encodeField('S', error.severity),
    encodeField('V', error.severity),
    encodeField('C', error.code),
    encodeField('M', error.message),
  ];
  if (error.detail !== undefined) fields.push(encodeField('D', error.detail));
  if (error.hint !== undefined) fields.push(encodeField('H', error.hint));
  return encodeMessage(BackendType.ERROR_RESPONSE, ...fields, Buffer.from([0]));
}

/**
 * Reads ErrorResponse. A missing code or message becomes an empty string, and a
 * missing detail or hint `undefined`.
 */
export function readErrorResponse(frame: Frame): DatabaseErrorFields {
  const values = new Map<string, string>();
  let offset = 5;
  while (offset < frame.bytes.length && frame.bytes[offset] !== 0) {
    const key = String.fromCharCode(frame.bytes[offset] as number);
    const end = frame.bytes.indexOf(0, offset + 1);
    values.set(key, frame.bytes.toString('utf8', offset + 1, end));
    offset = end + 1;
  }
  return {
    severity: values.get('V') === 'FATAL' ? 'FATAL' : 'ERROR',
    code: values.get('C') ?? '',
    message: values.get('M') ?? '',
    detail: values.get('D'),
    hint: values.get('H'),
  };
}

/** Encodes ReadyForQuery. */
export function readyForQuery(status: TransactionStatus): Buffer {
  const byte = Buffer.from([transactionStatusByte(status)]);
  return encodeMessage(BackendType.READY_FOR_QUERY, byte);
}

/** Reads the transaction status from ReadyForQuery. */
export function readReadyForQuery(frame: Frame): TransactionStatus {
  return transactionStatusFromByte(frame.bytes[5] ?? 0);
}

/** Encodes ParameterStatus. */
export function parameterStatus(name: string, value: string): Buffer {
  return encodeMessage(
    BackendType.PARAMETER_STATUS,
    encodeText(name),
    encodeText(value),
  );
}

/**
 * Encodes BackendKeyData, whose values the caller sends back to cancel a
 * statement.
 */
export function backendKeyData(processId: number, secret: number): Buffer {
  return encodeMessage(
    BackendType.BACKEND_KEY_DATA,
    encodeInt32(processId),
    encodeInt32(secret),
  );
}

/** Encodes CommandComplete with a command tag such as `INSERT 0 1`. */
export function commandComplete(tag: string): Buffer {
  return encodeMessage(BackendType.COMMAND_COMPLETE, encodeText(tag));
}

/** Reads the command tag from CommandComplete. */
export function readCommandTag(frame: Frame): string {
  return frame.bytes.toString('utf8', 5, frame.bytes.length - 1);
}

/** Encodes RowDescription with every column in text format. */
export function rowDescription(columns: readonly ColumnDescription[]): Buffer {
  const descriptions = columns.map(column =>
    Buffer.concat([
      encodeText(column.name),
      encodeInt32(0),
      encodeInt16(0),
      encodeInt32(column.typeOid ?? TEXT_TYPE_OID),
      encodeInt16(VARIABLE_TYPE_SIZE),
      encodeInt32(NO_TYPE_MODIFIER),
      encodeInt16(0),
    ]),
  );
  return encodeMessage(
    BackendType.ROW_DESCRIPTION,
    encodeInt16(columns.length),
    ...descriptions,
  );
}

/** Encodes DataRow with values in text format; `null` stands for SQL NULL. */
export function dataRow(values: ReadonlyArray<string | null>): Buffer {
  const cells = values.map(value => {
    if (value === null) return encodeInt32(NULL_LENGTH);
    const bytes = Buffer.from(value, 'utf8');
    return Buffer.concat([encodeInt32(bytes.length), bytes]);
  });
  return encodeMessage(
    BackendType.DATA_ROW,
    encodeInt16(values.length),
    ...cells,
  );
}

/**
 * Reads the first value of DataRow. Returns `undefined` if the row has no
 * values or the first one is NULL.
 */
export function readFirstValue(frame: Frame): string | undefined {
  if (frame.bytes.length < 11) return undefined;
  const length = frame.bytes.readInt32BE(7);
  if (length < 0) return undefined;
  return frame.bytes.toString('utf8', 11, 11 + length);
}

/** Encodes ParameterDescription with the OIDs of the parameter types. */
export function parameterDescription(typeOids: readonly number[]): Buffer {
  const oids = typeOids.map(oid => encodeInt32(oid));
  return encodeMessage(
    BackendType.PARAMETER_DESCRIPTION,
    encodeInt16(typeOids.length),
    ...oids,
  );
}

/** Encodes a message of the given type that has no body. */
export function emptyMessage(type: number): Buffer {
  return encodeMessage(type);
}

function encodeMessage(type: number, ...parts: readonly Buffer[]): Buffer {
  const body = Buffer.concat(parts);
  const header = Buffer.alloc(5);
  header.writeUInt8(type, 0);
  header.writeUInt32BE(body.length + 4, 1);
  return Buffer.concat([header, body]);
}

function encodeField(key: string, value: string): Buffer {
  return Buffer.concat([Buffer.from(key, 'latin1'), encodeText(value)]);
}

/** Encodes a zero-terminated string. */
function encodeText(value: string): Buffer {
  return Buffer.from(`${value}\0`, 'utf8');
}

function encodeInt32(value: number): Buffer {
  const bytes = Buffer.alloc(4);
  bytes.writeInt32BE(value | 0, 0);
  return bytes;
}

function encodeInt16(value: number): Buffer {
  const bytes = Buffer.alloc(2);
  bytes.writeInt16BE(value, 0);
  return bytes;
}
