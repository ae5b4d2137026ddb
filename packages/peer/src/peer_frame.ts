import {Packr} from 'msgpackr';

/**
 * A frame on a link between two processes of the system. `up` frames carry
 * messages of the side that opened the conversation, `down` frames those of the
 * other side.
 */
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
  | {
      readonly kind: 'credit';
      readonly id: number;
      readonly bytes: number;
    }
  | {readonly kind: 'end'; readonly id: number; readonly from: 'up' | 'down'};

/** A decoded frame with its encoded size in bytes. */
export interface ReceivedFrame {
  readonly frame: PeerFrame;
  readonly bytes: number;
}

const FRAME_KINDS: ReadonlySet<unknown> = new Set([
  'request',
  'answer',
  'refusal',
  'open',
  'up',
  'down',
  'credit',
  'end',
]);

const packr = new Packr({useRecords: false});

/** Encodes a frame as MessagePack. Encoded frames can be concatenated. */
export function encodeFrame(frame: PeerFrame): Buffer {
  return packr.pack(frame);
}

/**
 * Decodes concatenated frames. Returns `undefined` if the message contains
 * anything else.
 */
export function decodeFrames(
  message: Buffer,
): readonly ReceivedFrame[] | undefined {
  const received: ReceivedFrame[] = [];
  let isWellFormed = true;
  try {
    packr.unpackMultiple(message, (value, start = 0, end = 0) => {
      isWellFormed = isFrame(value);
      if (!isWellFormed) return false;
      received.push({frame: value as PeerFrame, bytes: end - start});
      return true;
    });
  } catch {
    return undefined;
  }
  return isWellFormed ? received : undefined;
}

function isFrame(value: unknown): value is PeerFrame {
  if (typeof value !== 'object' || value === null) return false;
  const {kind, id, name, bytes} = value as Record<string, unknown>;
  if (!FRAME_KINDS.has(kind) || !Number.isSafeInteger(id)) return false;
  if (kind === 'credit') return Number.isSafeInteger(bytes);
  const requiresName = kind === 'request' || kind === 'open';
  return !requiresName || typeof name === 'string';
}
