import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {Socket} from 'node:net';

const LOCAL_ADDRESS_FIELD = 1;
const REMOTE_ADDRESS_FIELD = 2;
const INODE_FIELD = 9;

/**
 * Finds which of some processes of this machine made a connection, from what
 * the kernel says of its sockets (proc(5), `/proc/net/tcp`); `undefined` if
 * none of them did, or the other end is closed already.
 *
 * @param processes Names of processes by their ids.
 */
export function findSocketOwner(
  socket: Socket,
  processes: ReadonlyMap<number, string>,
): string | undefined {
  const inode = inodeOfOtherEnd(socket);
  if (inode === undefined) return undefined;
  for (const [id, name] of processes) {
    if (holdsSocket(id, inode)) return name;
  }
  return undefined;
}

function inodeOfOtherEnd(socket: Socket): string | undefined {
  const local = `:${hexadecimal(socket.remotePort)}`;
  const remote = `:${hexadecimal(socket.localPort)}`;
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

function holdsSocket(processId: number, inode: string): boolean {
  const folder = `/proc/${processId}/fd`;
  try {
    return readdirSync(folder).some(
      file => linkOf(`${folder}/${file}`) === `socket:[${inode}]`,
    );
  } catch {
    // The process has ended.
    return false;
  }
}

function linkOf(path: string): string | undefined {
  try {
    return readlinkSync(path);
  } catch {
    return undefined;
  }
}

function hexadecimal(port: number | undefined): string {
  return (port ?? 0).toString(16).toUpperCase().padStart(4, '0');
}
