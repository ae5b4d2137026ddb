// The line protocol of PROTOCOL.md, as clients and servers use it.
import {Buffer} from 'node:buffer';

/** Splits a text at its first blank. */
export function splitWord(text) {
  const index = text.indexOf(' ');
  return index < 0 ? [text, ''] : [text.slice(0, index), text.slice(index + 1)];
}

/** Returns one line of the protocol. */
export function line(...fields) {
  return Buffer.from(`${fields.join(' ')}\r\n`, 'latin1');
}

/** Calls `handle` with each complete line that a socket receives. */
export function onLines(socket, handle) {
  let rest = '';
  socket.on('data', chunk => {
    const parts = (rest + chunk.toString('latin1')).split('\r\n');
    rest = parts.pop();
    for (const part of parts) handle(part);
  });
}
