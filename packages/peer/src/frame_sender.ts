import {WebSocket} from 'ws';
import {encodeFrame, PeerFrame} from './peer_frame.js';

/** A socket that holds more unsent bytes than this is terminated. */
const MAXIMUM_BUFFERED_BYTES = 64 << 20;
const MAXIMUM_BATCH_BYTES = 1 << 18;

interface PendingFrames {
  readonly encoded: Buffer[];
  bytes: number;
}

/** Encoded frames of each socket that wait for the next flush. */
const pendingFrames = new WeakMap<WebSocket, PendingFrames>();

/**
 * Sends a frame. Returns `false` if the socket is closed, the frame is larger
 * than `maximumMessageBytes`, or too many bytes are already buffered.
 */
export function sendFrame(
  socket: WebSocket | undefined,
  frame: PeerFrame,
  maximumMessageBytes: number,
): boolean {
  return sendEncoded(socket, encodeFrame(frame), maximumMessageBytes);
}

/**
 * Sends an encoded frame, with the result of {@link sendFrame}. Frames sent in
 * one iteration of the event loop are batched into one message, since each
 * message costs both sides a system call.
 */
export function sendEncoded(
  socket: WebSocket | undefined,
  encoded: Buffer,
  maximumMessageBytes: number,
): boolean {
  if (socket?.readyState !== WebSocket.OPEN) return false;
  // The other side would terminate the link, with all its open requests.
  if (encoded.length > maximumMessageBytes) return false;
  if (socket.bufferedAmount > MAXIMUM_BUFFERED_BYTES) {
    socket.terminate();
    return false;
  }
  const pending = pendingFrames.get(socket);
  // A batch must not exceed the message size that the other side accepts.
  const batchBytes = (pending?.bytes ?? 0) + encoded.length;
  if (pending !== undefined && batchBytes <= MAXIMUM_BATCH_BYTES) {
    pending.encoded.push(encoded);
    pending.bytes = batchBytes;
    return true;
  }
  flush(socket);
  pendingFrames.set(socket, {encoded: [encoded], bytes: encoded.length});
  // Runs after the callbacks of already settled promises, so that their frames
  // join the batch.
  process.nextTick(() => flush(socket));
  return true;
}

function flush(socket: WebSocket): void {
  const pending = pendingFrames.get(socket);
  if (pending === undefined) return;
  pendingFrames.delete(socket);
  if (socket.readyState !== WebSocket.OPEN) return;
  const {encoded} = pending;
  const [only] = encoded;
  socket.send(encoded.length === 1 ? (only as Buffer) : Buffer.concat(encoded));
}
