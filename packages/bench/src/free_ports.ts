import {createServer} from 'node:net';
import {Address} from '@apricotlock/topology';
import {Layout} from './layout.js';

/** Addresses of a layout that other processes listen on already. */
export async function takenAddresses(
  layout: Layout,
): Promise<readonly Address[]> {
  const wanted = [
    ...layout.machines.flatMap(machine => [
      machine.callerAddress,
      machine.peerAddress,
      machine.operatorAddress,
    ]),
    ...layout.members.flatMap(member => [
      member.address,
      member.apiAddress,
      member.commandAddress,
    ]),
  ];
  const free = await Promise.all(wanted.map(isFree));
  return wanted.filter((_, index) => !free[index]);
}

/** The first base port, by steps from a preferred one, with all ports free. */
export async function findBasePort(
  layOutAt: (basePort: number) => Layout,
  candidates: readonly number[],
): Promise<number | undefined> {
  for (const basePort of candidates) {
    const taken = await takenAddresses(layOutAt(basePort));
    if (taken.length === 0) return basePort;
  }
  return undefined;
}

function isFree(address: Address): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen({...address, exclusive: true}, () => {
      server.close(() => resolve(true));
    });
  });
}
