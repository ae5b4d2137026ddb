import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {Socket} from 'node:net';

const LOCAL_ADDRESS_FIELD = 1;
const REMOTE_ADDRESS_FIELD = 2;
const INODE_FIELD = 9;

/**
 * Finds which of the given processes on this machine opened a connection, from
 * the kernel's socket table (proc(5), `/proc/net/tcp`). Returns `undefined` if
 * none of them did, or if the other end is already closed.
 *
 * @param processes Process names by process id.
 */
export function findSocketOwner(
  socket: Socket,
  processes: ReadonlyMap<number, string>,
): string | undefined {
  const inode = findPeerInode(socket);
  if (inode === undefined) return undefined;
  for (const [id, name] of processes) {
    if (hasSocketOpen(id, inode)) return name;
  }
  return undefined;
}

function findPeerInode(socket: Socket): string | undefined {
  const local = `:${toHexadecimalPort(socket.remotePort)}`;
  const remote = `:${toHexadecimalPort(socket.localPort)}`;
  const lines = readFileSync('/proc/net/tcp', 'utf8').split('\n');
  const fields = lines
    .map(line => line.trim().split(/\s+/))
    .find(
      candidate =>
        candidate[LOCAL_ADDRESS_FIELD]?.endsWith(local) === true &&
        candidate[REMOTE_ADDRESS_FIELD]?.endsWith(remote) === true,
    );
  return fields?.[INODE_FIELD];
}

function hasSocketOpen(processId: number, inode: string): boolean {
  const folder = `/proc/${processId}/fd`;
  try {
    return readdirSync(folder).some(
      file => readLinkTarget(`${folder}/${file}`) === `socket:[${inode}]`,
    );
  } catch {
    // The process has ended.
    return false;
  }
}

function readLinkTarget(path: string): string | undefined {
  try {
    return readlinkSync(path);
  } catch {
    return undefined;
  }
}

function toHexadecimalPort(port: number | undefined): string {
  return (port ?? 0).toString(16).toUpperCase().padStart(4, '0');
}
