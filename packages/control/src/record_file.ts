import {crc32} from 'node:zlib';
import {Packr} from 'msgpackr';
import {Either, Left, Right} from 'purify-ts';

// A record is its payload's length, the checksum of that length, the checksum
// of the payload, and the payload.
const LENGTH_BYTES = 4;
const PAYLOAD_CHECKSUM_OFFSET = 8;
const HEADER_BYTES = 12;

const packr = new Packr({useRecords: false});

/** What could be read of a file of records. */
export interface RecordsRead {
  readonly records: readonly unknown[];
  /** Where the last whole record ends; what follows was never synced. */
  readonly lengthBytes: number;
  /** How long the first record is. */
  readonly firstBytes: number;
}

/** Encodes one value with its checksums. */
export function encodeRecord(value: unknown): Buffer {
  const payload = packr.pack(value);
  const record = Buffer.alloc(HEADER_BYTES + payload.length);
  record.writeUInt32LE(payload.length, 0);
  record.writeUInt32LE(crc32(record.subarray(0, LENGTH_BYTES)), LENGTH_BYTES);
  record.writeUInt32LE(crc32(payload), PAYLOAD_CHECKSUM_OFFSET);
  payload.copy(record, HEADER_BYTES);
  return record;
}

/**
 * Reads all records. A crash damages only the last one, since a record is
 * written after the one before it was synced: damage with a whole record
 * behind it is something else, and `Left` says where it begins.
 */
export function decodeRecords(bytes: Buffer): Either<number, RecordsRead> {
  const records: unknown[] = [];
  let offset = 0;
  let firstBytes = 0;
  while (offset < bytes.length) {
    const length = recordLengthAt(bytes, offset);
    if (length === undefined) break;
    const payload = bytes.subarray(offset + HEADER_BYTES, offset + length);
    records.push(packr.unpack(payload));
    offset += length;
    if (records.length === 1) firstBytes = length;
  }
  if (hasRecordAfter(bytes, offset)) return Left(offset);
  return Right({records, lengthBytes: offset, firstBytes});
}

/** Bytes of the whole record at an offset, if there is one. */
function recordLengthAt(bytes: Buffer, offset: number): number | undefined {
  if (offset + HEADER_BYTES > bytes.length) return undefined;
  const length = bytes.subarray(offset, offset + LENGTH_BYTES);
  if (bytes.readUInt32LE(offset + LENGTH_BYTES) !== crc32(length)) {
    return undefined;
  }
  const start = offset + HEADER_BYTES;
  const end = start + bytes.readUInt32LE(offset);
  if (end === start || end > bytes.length) return undefined;
  const checksum = bytes.readUInt32LE(offset + PAYLOAD_CHECKSUM_OFFSET);
  return checksum === crc32(bytes.subarray(start, end))
    ? end - offset
    : undefined;
}

function hasRecordAfter(bytes: Buffer, damagedAt: number): boolean {
  for (let offset = damagedAt + 1; offset < bytes.length; offset++) {
    if (recordLengthAt(bytes, offset) !== undefined) return true;
  }
  return false;
}
