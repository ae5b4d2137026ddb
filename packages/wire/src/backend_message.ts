import {Frame} from './frame.js';
import {
  BackendType,
  TransactionStatus,
  transactionStatusByte,
  transactionStatusOf,
} from './message_type.js';
import {SqlStateCode} from './sql_state.js';

const TEXT_TYPE_OID = 25;
const VARIABLE_LENGTH = -1;
const NO_MODIFIER = -1;
const NULL_LENGTH = -1;

/** An error or notice as a database or the proxy words it. */
export interface DatabaseErrorFields {
  readonly severity: 'ERROR' | 'FATAL';
  readonly code: SqlStateCode;
  readonly message: string;
  readonly detail?: string;
  readonly hint?: string;
}

/** A column of an answer, and the OID of its type. */
export interface ColumnDescription {
  readonly name: string;
  readonly typeOid?: number;
}

/** Writes ErrorResponse. */
export function errorResponse(error: DatabaseErrorFields): Buffer {
  const fields = [
    field('S', error.severity),
    field('V', error.severity),
    field('C', error.code),
    field('M', error.message),
  ];
  if (error.detail !== undefined) fields.push(field('D', error.detail));
  if (error.hint !== undefined) fields.push(field('H', error.hint));
  return message(BackendType.ERROR_RESPONSE, ...fields, Buffer.from([0]));
}

/** Reads ErrorResponse; fields that are not there are empty. */
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

/** Writes ReadyForQuery. */
export function readyForQuery(status: TransactionStatus): Buffer {
  const byte = Buffer.from([transactionStatusByte(status)]);
  return message(BackendType.READY_FOR_QUERY, byte);
}

/** Reads the status that ReadyForQuery carries. */
export function readReadyForQuery(frame: Frame): TransactionStatus {
  return transactionStatusOf(frame.bytes[5] ?? 0);
}

/** Writes ParameterStatus. */
export function parameterStatus(name: string, value: string): Buffer {
  return message(BackendType.PARAMETER_STATUS, text(name), text(value));
}

/** Writes BackendKeyData, by which a caller may cancel a statement. */
export function backendKeyData(processId: number, secret: number): Buffer {
  return message(BackendType.BACKEND_KEY_DATA, int32(processId), int32(secret));
}

/** Writes CommandComplete with a tag such as `INSERT 0 1`. */
export function commandComplete(tag: string): Buffer {
  return message(BackendType.COMMAND_COMPLETE, text(tag));
}

/** Reads the tag of CommandComplete. */
export function readCommandTag(frame: Frame): string {
  return frame.bytes.toString('utf8', 5, frame.bytes.length - 1);
}

/** Writes RowDescription; every column is sent as text. */
export function rowDescription(columns: readonly ColumnDescription[]): Buffer {
  const described = columns.map(column =>
    Buffer.concat([
      text(column.name),
      int32(0),
      int16(0),
      int32(column.typeOid ?? TEXT_TYPE_OID),
      int16(VARIABLE_LENGTH),
      int32(NO_MODIFIER),
      int16(0),
    ]),
  );
  return message(
    BackendType.ROW_DESCRIPTION,
    int16(columns.length),
    ...described,
  );
}

/** Writes DataRow with text values; `null` is SQL's NULL. */
export function dataRow(values: ReadonlyArray<string | null>): Buffer {
  const cells = values.map(value => {
    if (value === null) return int32(NULL_LENGTH);
    const bytes = Buffer.from(value, 'utf8');
    return Buffer.concat([int32(bytes.length), bytes]);
  });
  return message(BackendType.DATA_ROW, int16(values.length), ...cells);
}

/** Reads the first value of DataRow, if there is one and it is not NULL. */
export function readFirstValue(frame: Frame): string | undefined {
  if (frame.bytes.length < 11) return undefined;
  const length = frame.bytes.readInt32BE(7);
  if (length < 0) return undefined;
  return frame.bytes.toString('utf8', 11, 11 + length);
}

/** Writes ParameterDescription with the OIDs of a statement's parameters. */
export function parameterDescription(typeOids: readonly number[]): Buffer {
  const oids = typeOids.map(oid => int32(oid));
  return message(
    BackendType.PARAMETER_DESCRIPTION,
    int16(typeOids.length),
    ...oids,
  );
}

/** Writes a message that is only its type. */
export function bareMessage(type: number): Buffer {
  return message(type);
}

function message(type: number, ...parts: readonly Buffer[]): Buffer {
  const body = Buffer.concat(parts);
  const head = Buffer.alloc(5);
  head.writeUInt8(type, 0);
  head.writeUInt32BE(body.length + 4, 1);
  return Buffer.concat([head, body]);
}

function field(key: string, value: string): Buffer {
  return Buffer.concat([Buffer.from(key, 'latin1'), text(value)]);
}

function text(value: string): Buffer {
  return Buffer.from(`${value}\0`, 'utf8');
}

function int32(value: number): Buffer {
  const bytes = Buffer.alloc(4);
  bytes.writeInt32BE(value | 0, 0);
  return bytes;
}

function int16(value: number): Buffer {
  const bytes = Buffer.alloc(2);
  bytes.writeInt16BE(value, 0);
  return bytes;
}
