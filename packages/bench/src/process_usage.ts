import {readFileSync} from 'node:fs';

const TICKS_PER_SECOND = 100;
const MICROSECONDS_PER_SECOND = 1_000_000;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Resource usage of a process as Linux reports it. */
export interface ProcessUsage {
  /** Processor time since the process started, in microseconds. */
  readonly processorMicroseconds: number;
  readonly residentBytes: number;
  /** Bytes read and written, over TCP and in files. */
  readonly transferredBytes: number;
}

/** Reads the resource usage of a process from `/proc` (see proc(5)). */
export function readProcessUsage(processId: number): ProcessUsage {
  const folder = `/proc/${processId}`;
  const stat = readFileSync(`${folder}/stat`, 'latin1');
  // The command name, which is in parentheses, may contain blanks.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    processorMicroseconds: (ticks / TICKS_PER_SECOND) * MICROSECONDS_PER_SECOND,
    residentBytes: parseResidentBytes(
      readFileSync(`${folder}/status`, 'latin1'),
    ),
    transferredBytes: parseTransferredBytes(
      readFileSync(`${folder}/io`, 'latin1'),
    ),
  };
}

function parseResidentBytes(status: string): number {
  const kibibytes = /VmRSS:\s+([0-9]+) kB/.exec(status)?.[1];
  return Number(kibibytes ?? 0) * 1024;
}

function parseTransferredBytes(io: string): number {
  const read = /rchar: ([0-9]+)/.exec(io)?.[1];
  const written = /wchar: ([0-9]+)/.exec(io)?.[1];
  return Number(read ?? 0) + Number(written ?? 0);
}
