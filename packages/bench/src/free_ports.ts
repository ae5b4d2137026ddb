import {createServer} from 'node:net';
import {Address} from '@apricotlock/topology';
import {Layout} from './layout.js';

/** Returns the addresses of a layout that are already in use. */
export async function findOccupiedAddresses(
  layout: Layout,
): Promise<readonly Address[]> {
  const addresses = [
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
  const free = await Promise.all(addresses.map(isFree));
  return addresses.filter((_, index) => !free[index]);
}

/**
 * Returns the first candidate base port whose layout has only free addresses,
 * or `undefined` if none has.
 */
export async function findBasePort(
  createLayoutAt: (basePort: number) => Layout,
  candidates: readonly number[],
): Promise<number | undefined> {
  for (const basePort of candidates) {
    const occupied = await findOccupiedAddresses(createLayoutAt(basePort));
    if (occupied.length === 0) return basePort;
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
