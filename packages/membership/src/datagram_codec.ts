import {createHmac, timingSafeEqual} from 'node:crypto';
import {Packr} from 'msgpackr';
import {z} from 'zod';
import {SecretRing} from '@apricotlock/peer';
import {Address, formatAddress} from '@apricotlock/topology';
import {packedRecordSchema} from './member_record.js';

/** The largest datagram that is sent or taken: it fits one Ethernet frame. */
export const MAXIMUM_DATAGRAM_BYTES = 1_200;

const PROTOCOL_VERSION = 1;
const TAG_BYTES = 16;
const HEADER_BYTES = 1 + TAG_BYTES;
const MAXIMUM_RECORDS = 64;
const MAXIMUM_DIGEST_BYTES = 256;

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
  /** News, to be spread further. */
  z.strictObject({kind: z.literal('records')}),
  /** A part of the sender's table, for the receiver alone. */
  z.strictObject({kind: z.literal('tablePart')}),
]);

/** What a datagram says, besides the records that it carries. */
export type DatagramBody = z.infer<typeof bodySchema>;

const datagramSchema = z.strictObject({
  sender: z.string().min(1).max(63),
  incarnation: z.int().min(0),
  sequence: z.int().min(1),
  body: bodySchema,
  records: z.array(packedRecordSchema).max(MAXIMUM_RECORDS),
});

/** One datagram between two processes. */
export type Datagram = z.infer<typeof datagramSchema>;

const KINDS = [
  'ping',
  'ack',
  'pingThrough',
  'digest',
  'records',
  'tablePart',
] as const;
const packr = new Packr({useRecords: false});

/**
 * Encodes a datagram: a version byte, an authentication tag, and MessagePack.
 * The tag covers the receiver's address, so that a captured datagram proves
 * nothing to another process.
 */
export function sealDatagram(
  datagram: Datagram,
  to: Address,
  ring: SecretRing,
): Buffer {
  const payload = packr.pack(toArray(datagram));
  const tag = tagOf(payload, to, ring.current);
  return Buffer.concat([Buffer.of(PROTOCOL_VERSION), tag, payload]);
}

/** Decodes a datagram; `undefined` unless a holder of the key wrote it. */
export function openDatagram(
  bytes: Buffer,
  self: Address,
  ring: SecretRing,
): Datagram | undefined {
  if (bytes.length > MAXIMUM_DATAGRAM_BYTES) return undefined;
  if (bytes.length <= HEADER_BYTES || bytes[0] !== PROTOCOL_VERSION) {
    return undefined;
  }
  const tag = bytes.subarray(1, HEADER_BYTES);
  const payload = bytes.subarray(HEADER_BYTES);
  const authentic = ring.accepted.some(key =>
    timingSafeEqual(tag, tagOf(payload, self, key)),
  );
  return authentic ? decode(payload) : undefined;
}

/** How many bytes one record takes in a datagram. */
export function packedBytes(record: unknown): number {
  return packr.pack(record).length;
}

function tagOf(payload: Buffer, to: Address, key: string): Buffer {
  return createHmac('sha256', key)
    .update(canonical(to))
    .update(payload)
    .digest()
    .subarray(0, TAG_BYTES);
}

/** One text for each address, however its IPv6 number was written. */
function canonical({host, port}: Address): string {
  const written = formatAddress({host, port});
  return host.includes(':') ? new URL(`http://${written}`).host : written;
}

function toArray(datagram: Datagram): readonly unknown[] {
  const {sender, incarnation, sequence, body, records} = datagram;
  const {kind, ...rest} = body;
  const head = [sender, incarnation, sequence, KINDS.indexOf(kind)];
  return [...head, Object.values(rest), records];
}

function decode(payload: Buffer): Datagram | undefined {
  try {
    const value: unknown = packr.unpack(payload);
    if (!Array.isArray(value)) return undefined;
    const [sender, incarnation, sequence, kind, details, records] =
      value as readonly unknown[];
    const body = bodyOf(kind, details);
    const candidate = {sender, incarnation, sequence, body, records};
    return datagramSchema.safeParse(candidate).data;
  } catch {
    return undefined;
  }
}

function bodyOf(kindNumber: unknown, details: unknown): unknown {
  if (!Array.isArray(details)) return undefined;
  const kind = KINDS[kindNumber as number];
  const [first, second] = details as readonly unknown[];
  if (kind === 'ping' || kind === 'ack') return {kind, probe: first};
  if (kind === 'pingThrough') return {kind, probe: first, target: second};
  if (kind === 'digest') return {kind, digest: first, answers: second};
  return {kind};
}
