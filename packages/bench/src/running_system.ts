import {formatAddress} from '@apricotlock/topology';
import {SystemUnderTest} from './system_under_test.js';

/** Addresses and files of a running system, printed for manual use. */
export interface RunningSystemDescription {
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
    /** Accepts `POST /kill`, `/cut`, `/heal`, `/forget` and `/slow`. */
    readonly commands: string;
    /** Process id, for `kill -STOP` and `kill -CONT`. */
    readonly processId: number | undefined;
  }>;
}

/** Returns the addresses and files of a running system. */
export function describeRunningSystem(
  system: SystemUnderTest,
): RunningSystemDescription {
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
