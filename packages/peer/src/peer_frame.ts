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

/** A frame is sent as an array, which begins with the index of its kind here. */
const FRAME_KINDS = [
  'request',
  'answer',
  'refusal',
  'open',
  'up',
  'down',
  'credit',
  'end',
] as const;
type FrameKind = (typeof FRAME_KINDS)[number];
const FRAME_CODES = new Map<FrameKind, number>(
  FRAME_KINDS.map((kind, code) => [kind, code]),
);

const packr = new Packr({useRecords: false});

/**
 * Encodes a frame as MessagePack, without the names of its fields. Encoded
 * frames can be concatenated.
 */
export function encodeFrame(frame: PeerFrame): Buffer {
  return packr.pack([
    FRAME_CODES.get(frame.kind),
    frame.id,
    ...contentOf(frame),
  ]);
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
      const frame = toFrame(value);
      isWellFormed = frame !== undefined;
      if (frame === undefined) return false;
      received.push({frame, bytes: end - start});
      return true;
    });
  } catch {
    return undefined;
  }
  return isWellFormed ? received : undefined;
}

/** Returns what a frame carries beside its kind and identifier. */
function contentOf(frame: PeerFrame): readonly unknown[] {
  // A plain switch, since several frames are sent for each statement.
  switch (frame.kind) {
    case 'request':
    case 'open':
      return [frame.name, frame.body];
    case 'answer':
    case 'up':
    case 'down':
      return [frame.body];
    case 'refusal':
      return [frame.reason];
    case 'credit':
      return [frame.bytes];
    case 'end':
      return [frame.from];
  }
}

/** Returns the frame of a decoded array, `undefined` if it is none. */
function toFrame(value: unknown): PeerFrame | undefined {
  if (!Array.isArray(value)) return undefined;
  const [code, id, first, second] = value as readonly unknown[];
  const kind = FRAME_KINDS[code as number];
  if (kind === undefined || !isInteger(id)) return undefined;
  switch (kind) {
    case 'request':
    case 'open':
      if (typeof first !== 'string') return undefined;
      return {kind, id, name: first, body: second};
    case 'answer':
    case 'up':
    case 'down':
      return {kind, id, body: first};
    case 'refusal':
      return {kind, id, reason: String(first)};
    case 'credit':
      return isInteger(first) ? {kind, id, bytes: first} : undefined;
    case 'end':
      return {kind, id, from: first === 'up' ? 'up' : 'down'};
  }
}

function isInteger(value: unknown): value is number {
  return Number.isSafeInteger(value);
}
