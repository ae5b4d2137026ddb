import {connect} from 'node:net';
import {OpenedBackend} from './backend_start_up.js';

const CANCEL_REQUEST_CODE = 80877102;
const CANCEL_REQUEST_BYTES = 16;
/** A connection without activity for this time is closed. */
const IDLE_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Asks a server to cancel the statement that runs on a connection. The protocol
 * requires a separate connection for the request. Resolves once that connection
 * has closed, which does not tell whether a statement was cancelled.
 */
export function sendCancelRequest(backend: OpenedBackend): Promise<void> {
  const {remoteAddress, remotePort} = backend.stream.socket;
  if (remoteAddress === undefined || remotePort === undefined) {
    return Promise.resolve();
  }
  return new Promise(resolve => {
    const socket = connect({host: remoteAddress, port: remotePort});
    socket.setTimeout(IDLE_TIMEOUT_MILLISECONDS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => resolve());
    socket.on('data', () => undefined);
    socket.on('connect', () => {
      socket.write(cancelRequestBytes(backend.processId, backend.secret));
    });
  });
}

/** Encodes CancelRequest. */
export function cancelRequestBytes(processId: number, secret: number): Buffer {
  const bytes = Buffer.alloc(CANCEL_REQUEST_BYTES);
  bytes.writeInt32BE(CANCEL_REQUEST_BYTES, 0);
  bytes.writeInt32BE(CANCEL_REQUEST_CODE, 4);
  bytes.writeInt32BE(processId, 8);
  bytes.writeInt32BE(secret, 12);
  return bytes;
}
