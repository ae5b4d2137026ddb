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

/** Encodes a frame as MessagePack; encoded frames may be joined. */
export function encodeFrame(frame: PeerFrame): Buffer {
  return packr.pack(frame);
}

/** Decodes frames; `undefined` if there is anything that is not one. */
export function decodeFrames(bytes: Buffer): readonly PeerFrame[] | undefined {
  let values: readonly unknown[];
  try {
    values = packr.unpackMultiple(bytes) as readonly unknown[];
  } catch {
    return undefined;
  }
  return values.every(isFrame) ? values : undefined;
}

function isFrame(value: unknown): value is PeerFrame {
  if (typeof value !== 'object' || value === null) return false;
  const {kind, id, name} = value as Record<string, unknown>;
  if (!FRAME_KINDS.has(kind) || !Number.isSafeInteger(id)) return false;
  const named = kind === 'request' || kind === 'open';
  return !named || typeof name === 'string';
}
