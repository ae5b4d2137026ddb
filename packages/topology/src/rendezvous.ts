import {createHash} from 'node:crypto';
import {VirtualMachine} from './virtual_machine.js';

/**
 * The entry VM that owns a member: the one with the highest hash among those
 * of the member's data centre, or among all if that has none. Losing a VM
 * moves only what it owned. Source: Thaler and Ravishankar, "Using name-based
 * mappings to increase hit rates", 1998.
 */
export function ownerOf(
  memberName: string,
  dataCentre: string,
  machines: readonly VirtualMachine[],
): VirtualMachine | undefined {
  const serving = machines.filter(machine => machine.state === 'serving');
  const near = serving.filter(machine => machine.dataCentre === dataCentre);
  const candidates = near.length > 0 ? near : serving;
  return highest(candidates, machine => weight(memberName, machine.name));
}

function highest(
  machines: readonly VirtualMachine[],
  weigh: (machine: VirtualMachine) => bigint,
): VirtualMachine | undefined {
  let best: VirtualMachine | undefined;
  let bestWeight = -1n;
  for (const machine of machines) {
    const machineWeight = weigh(machine);
    if (machineWeight <= bestWeight) continue;
    best = machine;
    bestWeight = machineWeight;
  }
  return best;
}

function weight(memberName: string, machineName: string): bigint {
  const hash = createHash('sha1').update(`${memberName}\0${machineName}`);
  return hash.digest().readBigUInt64BE(0);
}
