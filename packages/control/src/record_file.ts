import {crc32} from 'node:zlib';
import {Packr} from 'msgpackr';
import {Either, Left, Right} from 'purify-ts';

// A record consists of the payload's length, the checksum of the length, the
// checksum of the payload, and the payload.
const LENGTH_BYTES = 4;
const PAYLOAD_CHECKSUM_OFFSET = 8;
const HEADER_BYTES = 12;

const packr = new Packr({useRecords: false});

/** The records read from a file. */
export interface DecodedRecords {
  readonly records: readonly unknown[];
  /** Where the last intact record ends; what follows was never synced. */
  readonly validBytes: number;
  /** Size of the first record, including its header. */
  readonly firstRecordBytes: number;
}

/** Encodes a value as a record with checksums. */
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
 * Decodes all records of a file. A crash can damage only the last record, as
 * each record is synced before the next one is written. Damage that is followed
 * by an intact record has another cause: the result is then `Left` with the
 * offset of the damage.
 */
export function decodeRecords(bytes: Buffer): Either<number, DecodedRecords> {
  const records: unknown[] = [];
  let offset = 0;
  let firstRecordBytes = 0;
  while (offset < bytes.length) {
    const length = recordLengthAt(bytes, offset);
    if (length === undefined) break;
    const payload = bytes.subarray(offset + HEADER_BYTES, offset + length);
    records.push(packr.unpack(payload));
    offset += length;
    if (records.length === 1) firstRecordBytes = length;
  }
  if (hasRecordAfter(bytes, offset)) return Left(offset);
  return Right({records, validBytes: offset, firstRecordBytes});
}

/**
 * Returns the size of the intact record at an offset; `undefined` if there is
 * none.
 */
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

function hasRecordAfter(bytes: Buffer, damagedOffset: number): boolean {
  for (let offset = damagedOffset + 1; offset < bytes.length; offset++) {
    if (recordLengthAt(bytes, offset) !== undefined) return true;
  }
  return false;
}
