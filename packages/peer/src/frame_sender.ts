import {WebSocket} from 'ws';
import {encodeFrame, PeerFrame} from './peer_frame.js';

const MAXIMUM_UNSENT_BYTES = 64 << 20;
const MAXIMUM_JOINED_BYTES = 1 << 18;

interface WaitingFrames {
  readonly encoded: Buffer[];
  bytes: number;
}

/** Frames of each socket that wait for the end of the running callback. */
const waitingFrames = new WeakMap<WebSocket, WaitingFrames>();

/** Sends a frame unless the socket is closed or holds too much already. */
export function sendFrame(
  socket: WebSocket | undefined,
  frame: PeerFrame,
  maximumMessageBytes: number,
): boolean {
  return sendEncoded(socket, encodeFrame(frame), maximumMessageBytes);
}

/**
 * Sends an encoded frame unless the socket is closed or holds too much already.
 * Frames sent in one turn of the event loop travel as one message, since each
 * message costs both ends a system call.
 */
export function sendEncoded(
  socket: WebSocket | undefined,
  encoded: Buffer,
  maximumMessageBytes: number,
): boolean {
  if (socket?.readyState !== WebSocket.OPEN) return false;
  // The other end would give the link up, with all that is under way on it.
  if (encoded.length > maximumMessageBytes) return false;
  if (socket.bufferedAmount > MAXIMUM_UNSENT_BYTES) {
    socket.terminate();
    return false;
  }
  const waiting = waitingFrames.get(socket);
  // A joined message must stay below what the other end takes.
  const joined = (waiting?.bytes ?? 0) + encoded.length;
  if (waiting !== undefined && joined <= MAXIMUM_JOINED_BYTES) {
    waiting.encoded.push(encoded);
    waiting.bytes = joined;
    return true;
  }
  flush(socket);
  waitingFrames.set(socket, {encoded: [encoded], bytes: encoded.length});
  // Runs once the promises that are settled now have been followed.
  process.nextTick(() => flush(socket));
  return true;
}

function flush(socket: WebSocket): void {
  const waiting = waitingFrames.get(socket);
  if (waiting === undefined) return;
  waitingFrames.delete(socket);
  if (socket.readyState !== WebSocket.OPEN) return;
  const {encoded} = waiting;
  const [only] = encoded;
  socket.send(encoded.length === 1 ? (only as Buffer) : Buffer.concat(encoded));
}
