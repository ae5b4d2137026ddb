import {formatAddress} from '@apricotlock/topology';
import {SystemUnderTest} from './system_under_test.js';

/** Where a system that stays up can be reached, for a person to try it. */
export interface HeldSystem {
  readonly folder: string;
  readonly operatorTokenFile: string;
  readonly machines: ReadonlyArray<{
    readonly name: string;
    readonly dataCentre: string;
    readonly callers: string;
    readonly operators: string;
  }>;
  readonly members: ReadonlyArray<{
    readonly name: string;
    readonly database: string;
    readonly dataCentre: string;
    readonly address: string;
    /** Takes `POST /kill`, `/cut`, `/heal`, `/forget` and `/slow`. */
    readonly commands: string;
    /** For `kill -STOP` and `kill -CONT`. */
    readonly processId: number | undefined;
  }>;
}

/** Describes a running system. */
export function describeHeldSystem(system: SystemUnderTest): HeldSystem {
  const {machines, members} = system.layout;
  return {
    folder: system.folder,
    operatorTokenFile: system.tokenFile,
    machines: machines.map(machine => ({
      name: machine.name,
      dataCentre: machine.dataCentre,
      callers: formatAddress(machine.callerAddress),
      operators: formatAddress(machine.operatorAddress),
    })),
    members: members.map(member => ({
      name: member.name,
      database: member.database,
      dataCentre: member.dataCentre,
      address: formatAddress(member.address),
      commands: formatAddress(member.commandAddress),
      processId: system.processes.processId(member.name),
    })),
  };
}
