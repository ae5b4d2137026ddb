import {Packr} from 'msgpackr';

/** What passes over a link between two processes of the system. */
export type PeerFrame =
  | {
      readonly kind: 'request';
      readonly id: number;
      readonly name: string;
      readonly body: unknown;
    }
  | {readonly kind: 'answer'; readonly id: number; readonly body: unknown}
  | {readonly kind: 'refusal'; readonly id: number; readonly reason: string}
  | {
      readonly kind: 'open';
      readonly id: number;
      readonly name: string;
      readonly body: unknown;
    }
  | {readonly kind: 'up'; readonly id: number; readonly body: unknown}
  | {readonly kind: 'down'; readonly id: number; readonly body: unknown}
  | {readonly kind: 'end'; readonly id: number; readonly from: 'up' | 'down'};

const FRAME_KINDS: ReadonlySet<unknown> = new Set([
  'request',
  'answer',
  'refusal',
  'open',
  'up',
  'down',
  'end',
]);

const packr = new Packr({useRecords: false});

/** Encodes a frame as MessagePack. */
export function encodeFrame(frame: PeerFrame): Buffer {
  return packr.pack(frame);
}

/** Decodes a frame; `undefined` for anything that is not one. */
export function decodeFrame(bytes: Buffer): PeerFrame | undefined {
  let value: unknown;
  try {
    value = packr.unpack(bytes);
  } catch {
    return undefined;
  }
  return isFrame(value) ? value : undefined;
}

function isFrame(value: unknown): value is PeerFrame {
  if (typeof value !== 'object' || value === null) return false;
  const {kind, id, name} = value as Record<string, unknown>;
  if (!FRAME_KINDS.has(kind) || !Number.isSafeInteger(id)) return false;
  const named = kind === 'request' || kind === 'open';
  return !named || typeof name === 'string';
}
