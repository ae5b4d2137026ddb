import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';
import {viewUpdateSchema} from './control_schemas.js';
import {ViewUpdate} from './view_update.js';

/**
 * An update with many entries, compressed. It is packed once and forwarded as
 * it is, since each packing of thousands of entries holds up a small VM.
 */
export interface PackedUpdate {
  readonly kind: 'packed';
  readonly bytes: Uint8Array;
}

/**
 * Updates with fewer entries and organisations are cheaper to send as they are.
 */
const MINIMUM_PACKED_ENTRIES = 32;
/** Protects against a message that expands without bound. */
const MAXIMUM_UNPACKED_BYTES = 64 << 20;
const COMPRESSION_LEVEL = 3;

/** Structures that are repeated in an update are described once. */
const packr = new Packr({useRecords: true});

/** Returns whether an update is large enough to be packed. */
export function isWorthPacking(update: ViewUpdate): boolean {
  const {entries, organisations = []} =
    update.kind === 'full' ? update.view.catalogue : update.delta;
  return entries.length + organisations.length >= MINIMUM_PACKED_ENTRIES;
}

/** Compresses an update. */
export function packUpdate(update: ViewUpdate): PackedUpdate {
  const bytes = deflateRawSync(packr.pack(update), {level: COMPRESSION_LEVEL});
  return {kind: 'packed', bytes};
}

/** Returns the update, or `undefined` if the bytes are none. */
export function unpackUpdate({bytes}: PackedUpdate): ViewUpdate | undefined {
  try {
    const inflated = inflateRawSync(bytes, {
      maxOutputLength: MAXIMUM_UNPACKED_BYTES,
    });
    return viewUpdateSchema.safeParse(packr.unpack(inflated)).data;
  } catch {
    // Not compressed, not MessagePack, or too large: malformed in any case,
    // which the caller reports.
    return undefined;
  }
}
