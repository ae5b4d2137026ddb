import {
  createHmac,
  createSecretKey,
  KeyObject,
  timingSafeEqual,
} from 'node:crypto';
import {Packr} from 'msgpackr';
import {z} from 'zod';
import {KeyRing} from '@apricotlock/peer';
import {Address, formatAddress} from '@apricotlock/topology';
import {packedRecordSchema} from './member_record.js';

/** Largest datagram that is sent or accepted; it fits one Ethernet frame. */
export const MAXIMUM_DATAGRAM_BYTES = 1_200;

const PROTOCOL_VERSION = 1;
const TAG_BYTES = 16;
const HEADER_BYTES = 1 + TAG_BYTES;
const MAXIMUM_RECORDS = 64;
const MAXIMUM_DIGEST_BYTES = 256;
const MAXIMUM_SENDER_CHARACTERS = 63;

const bytesSchema = z.custom<Uint8Array>(
  value => value instanceof Uint8Array && value.length <= MAXIMUM_DIGEST_BYTES,
);
const addressSchema = z.tuple([
  z.string().min(1).max(45),
  z.int().min(1).max(65_535),
]);

const bodySchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('ping'), probe: z.int()}),
  z.strictObject({kind: z.literal('ack'), probe: z.int()}),
  z.strictObject({
    kind: z.literal('pingThrough'),
    probe: z.int(),
    target: addressSchema,
  }),
  z.strictObject({
    kind: z.literal('digest'),
    digest: bytesSchema,
    answers: z.boolean(),
  }),
  /** Carries only records, which the receiver propagates further. */
  z.strictObject({kind: z.literal('records')}),
  /** Carries a part of the sender's table, which is not propagated further. */
  z.strictObject({kind: z.literal('tablePart')}),
]);

/** The payload of a datagram, without the member records that it carries. */
export type DatagramBody = z.infer<typeof bodySchema>;

const datagramSchema = z.strictObject({
  sender: z.string().min(1).max(MAXIMUM_SENDER_CHARACTERS),
  incarnation: z.int().min(0),
  sequence: z.int().min(1),
  body: bodySchema,
  records: z.array(packedRecordSchema).max(MAXIMUM_RECORDS),
});

/** A decoded datagram between two processes. */
export type Datagram = z.infer<typeof datagramSchema>;

/** A datagram contains the index of its kind in this list. */
const BODY_KINDS = [
  'ping',
  'ack',
  'pingThrough',
  'digest',
  'records',
  'tablePart',
] as const;
const packr = new Packr({useRecords: false});

/**
 * Encodes a datagram as a version byte, an authentication tag and a MessagePack
 * payload. The tag covers the receiver's address, so that a captured datagram
 * cannot be replayed to another process.
 */
export function encodeDatagram(
  datagram: Datagram,
  to: Address,
  keyRing: KeyRing,
): Buffer {
  const payload = packr.pack(toPositionalArray(datagram));
  const tag = computeTag(payload, to, keyRing.current);
  return Buffer.concat([Buffer.of(PROTOCOL_VERSION), tag, payload]);
}

/**
 * Decodes a datagram. Returns `undefined` if it is malformed, too large, of
 * another version, or not authenticated for `receiver` by an accepted key.
 */
export function decodeDatagram(
  bytes: Buffer,
  receiver: Address,
  keyRing: KeyRing,
): Datagram | undefined {
  if (bytes.length > MAXIMUM_DATAGRAM_BYTES) return undefined;
  if (bytes.length <= HEADER_BYTES || bytes[0] !== PROTOCOL_VERSION) {
    return undefined;
  }
  const tag = bytes.subarray(1, HEADER_BYTES);
  const payload = bytes.subarray(HEADER_BYTES);
  const authentic = keyRing.accepted.some(key =>
    timingSafeEqual(tag, computeTag(payload, receiver, key)),
  );
  return authentic ? decodePayload(payload) : undefined;
}

/** Returns the number of bytes that a packed record takes in a datagram. */
export function getPackedByteLength(record: unknown): number {
  return packr.pack(record).length;
}

function computeTag(payload: Buffer, to: Address, key: string): Buffer {
  return createHmac('sha256', secretKeyOf(key))
    .update(formatCanonicalAddress(to))
    .update(payload)
    .digest()
    .subarray(0, TAG_BYTES);
}

/** Key objects by key, since creating one costs more than using it. */
const secretKeys = new Map<string, KeyObject>();
/** More keys than any rotation has at once. */
const MAXIMUM_SECRET_KEYS = 16;

function secretKeyOf(key: string): KeyObject {
  const known = secretKeys.get(key);
  if (known !== undefined) return known;
  if (secretKeys.size >= MAXIMUM_SECRET_KEYS) secretKeys.clear();
  const created = createSecretKey(Buffer.from(key));
  secretKeys.set(key, created);
  return created;
}

/** Formats an address so that all spellings of an IPv6 host give one text. */
function formatCanonicalAddress({host, port}: Address): string {
  const addressText = formatAddress({host, port});
  return host.includes(':')
    ? new URL(`http://${addressText}`).host
    : addressText;
}

/**
 * Returns the values of a datagram without their names. The fields of a body
 * must be in the order in which `decodeBody` reads them.
 */
function toPositionalArray(datagram: Datagram): readonly unknown[] {
  const {sender, incarnation, sequence, body, records} = datagram;
  const {kind, ...rest} = body;
  const head = [sender, incarnation, sequence, BODY_KINDS.indexOf(kind)];
  return [...head, Object.values(rest), records];
}

function decodePayload(payload: Buffer): Datagram | undefined {
  try {
    const value: unknown = packr.unpack(payload);
    if (!Array.isArray(value)) return undefined;
    const [sender, incarnation, sequence, kind, fields, records] =
      value as readonly unknown[];
    const body = decodeBody(kind, fields);
    const candidate = {sender, incarnation, sequence, body, records};
    if (isPlainProbe(candidate)) return candidate;
    return datagramSchema.safeParse(candidate).data;
  } catch {
    return undefined;
  }
}

/**
 * Returns whether a value is a valid probe or acknowledgement without records.
 * These are nearly all datagrams, and this check costs a small part of what the
 * schema does.
 */
function isPlainProbe(candidate: {
  readonly sender: unknown;
  readonly incarnation: unknown;
  readonly sequence: unknown;
  readonly body: unknown;
  readonly records: unknown;
}): candidate is Datagram {
  const {sender, incarnation, sequence, body, records} = candidate;
  const {kind, probe} = (body ?? {}) as Record<string, unknown>;
  return (
    (kind === 'ping' || kind === 'ack') &&
    Number.isSafeInteger(probe) &&
    typeof sender === 'string' &&
    sender.length >= 1 &&
    sender.length <= MAXIMUM_SENDER_CHARACTERS &&
    isIntegerFrom(0, incarnation) &&
    isIntegerFrom(1, sequence) &&
    Array.isArray(records) &&
    records.length === 0
  );
}

function isIntegerFrom(minimum: number, value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= minimum;
}

function decodeBody(kindIndex: unknown, fields: unknown): unknown {
  if (!Array.isArray(fields)) return undefined;
  const kind = BODY_KINDS[kindIndex as number];
  const [first, second] = fields as readonly unknown[];
  if (kind === 'ping' || kind === 'ack') return {kind, probe: first};
  if (kind === 'pingThrough') return {kind, probe: first, target: second};
  if (kind === 'digest') return {kind, digest: first, answers: second};
  return {kind};
}
